package org.lacewingthread.core.ownership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.ShardTable;

/**
 * Shards of split-out keys. Until every dispatcher has applied the record of the split, some VM may
 * still send such a key as part of the shard it came from, so that both have to stay together.
 */
final class SplitShards {
    private final PlanDraft draft;
    private final Map<ApplicationId, ShardTable> seen = new HashMap<>();
    private final Map<ShardId, Split> splits = new HashMap<>();
    private final Map<ShardId, Set<ShardId>> byBase = new HashMap<>();
    private final Set<ShardId> separated = new HashSet<>();

    /**
     * A split-out key.
     *
     * @param keyHash its hash
     * @param base the shard it came from
     * @param knownAt log offset by which the split was in force
     */
    record Split(long keyHash, ShardId base, LogOffset knownAt) {}

    SplitShards(PlanDraft draft) {
        this.draft = draft;
    }

    void refresh(Step step) {
        step.inputs().state().shardTables().forEach((application, table) -> {
            if (isChanged(application, table)) {
                refresh(step, application, table);
            }
        });
    }

    @SuppressWarnings("ReferenceEquality")
    private boolean isChanged(ApplicationId application, ShardTable table) {
        return seen.put(application, table) != table;
    }

    private void refresh(Step step, ApplicationId application, ShardTable table) {
        Map<ShardId, Split> present = new HashMap<>();
        table.splitKeys().forEach((hash, index) -> {
            ShardId shard = new ShardId(application, index);
            ShardId base = new ShardId(application, (int) (hash & (table.shardCount() - 1)));
            Split known = splits.get(shard);
            boolean same = known != null && known.keyHash() == hash;
            present.put(
                    shard,
                    same ? known : new Split(hash, base, step.inputs().state().appliedOffset()));
        });
        splits.keySet().removeIf(s -> s.application().equals(application) && !present.containsKey(s));
        splits.putAll(present);
        separated.retainAll(splits.keySet());
        byBase.clear();
        splits.forEach((shard, split) ->
                byBase.computeIfAbsent(split.base(), b -> new TreeSet<>()).add(shard));
    }

    Optional<Split> split(ShardId shard) {
        return Optional.ofNullable(splits.get(shard));
    }

    Map<ShardId, Split> all() {
        return splits;
    }

    /** Returns whether a shard may be owned by a server although shards of the same keys are elsewhere. */
    boolean mayPart(Step step, ShardId shard, ServerId server) {
        Split own = splits.get(shard);
        if (own != null) {
            return !isElsewhere(own.base(), server) || isKnownToDispatchers(step, own);
        }
        return byBase.getOrDefault(shard, Set.of()).stream()
                .filter(s -> isElsewhere(s, server))
                .allMatch(s -> isKnownToDispatchers(step, splits.get(s)));
    }

    private boolean isElsewhere(ShardId shard, ServerId server) {
        return draft.ownerOf(shard)
                .map(RoutePlan.Ownership::server)
                .filter(s -> !s.equals(server))
                .isPresent();
    }

    /** Returns whether every dispatcher sends the key as a shard of its own. */
    boolean isKnownToDispatchers(Step step, Split split) {
        return haveApplied(step, split.knownAt());
    }

    /** Returns whether every dispatcher has applied the log up to an offset. */
    boolean haveApplied(Step step, LogOffset offset) {
        return draft.dispatchedServers().stream()
                .map(s -> draft.dispatcherOf(s).orElseThrow())
                .distinct()
                .allMatch(vm -> step.inputs().ledger().hasApplied(vm, offset));
    }

    /** Returns the shard whose requests may include the key's, if the key was never apart from it. */
    Optional<ShardId> notYetSeparated(ShardId shard) {
        return split(shard).filter(s -> !separated.contains(shard)).map(Split::base);
    }

    void separated(ShardId shard) {
        separated.add(shard);
    }
}
