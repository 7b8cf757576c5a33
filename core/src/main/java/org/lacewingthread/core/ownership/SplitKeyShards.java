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
final class SplitKeyShards {
    private final PlanDraft draft;
    private final Map<ApplicationId, ShardTable> lastTables = new HashMap<>();
    private final Map<ShardId, SplitKey> splits = new HashMap<>();
    private final Map<ShardId, Set<ShardId>> splitsByBase = new HashMap<>();
    private final Set<ShardId> separated = new HashSet<>();

    /**
     * A split-out key.
     *
     * @param keyHash its hash
     * @param baseShard the shard it came from
     * @param appliedAtOffset log offset by which the split was in force
     */
    record SplitKey(long keyHash, ShardId baseShard, LogOffset appliedAtOffset) {}

    SplitKeyShards(PlanDraft draft) {
        this.draft = draft;
    }

    void refresh(StepContext step) {
        step.inputs().state().shardTables().forEach((application, table) -> {
            if (isChanged(application, table)) {
                refresh(step, application, table);
            }
        });
    }

    @SuppressWarnings("ReferenceEquality")
    private boolean isChanged(ApplicationId application, ShardTable table) {
        return lastTables.put(application, table) != table;
    }

    private void refresh(StepContext step, ApplicationId application, ShardTable table) {
        Map<ShardId, SplitKey> present = new HashMap<>();
        table.splitKeys().forEach((hash, index) -> {
            ShardId shard = new ShardId(application, index);
            ShardId base = new ShardId(application, (int) (hash & (table.shardCount() - 1)));
            SplitKey known = splits.get(shard);
            boolean same = known != null && known.keyHash() == hash;
            present.put(
                    shard,
                    same
                            ? known
                            : new SplitKey(hash, base, step.inputs().state().appliedOffset()));
        });
        splits.keySet().removeIf(s -> s.application().equals(application) && !present.containsKey(s));
        splits.putAll(present);
        separated.retainAll(splits.keySet());
        splitsByBase.clear();
        splits.forEach((shard, split) -> splitsByBase
                .computeIfAbsent(split.baseShard(), b -> new TreeSet<>())
                .add(shard));
    }

    Optional<SplitKey> split(ShardId shard) {
        return Optional.ofNullable(splits.get(shard));
    }

    Map<ShardId, SplitKey> all() {
        return splits;
    }

    /** Returns whether a shard may be owned by a server although shards of the same keys are elsewhere. */
    boolean mayBeOwnedApart(StepContext step, ShardId shard, ServerId server) {
        SplitKey own = splits.get(shard);
        if (own != null) {
            return !isElsewhere(own.baseShard(), server) || isKnownToDispatchers(step, own);
        }
        return splitsByBase.getOrDefault(shard, Set.of()).stream()
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
    boolean isKnownToDispatchers(StepContext step, SplitKey split) {
        return allDispatchersApplied(step, split.appliedAtOffset());
    }

    /** Returns whether every dispatcher has applied the log up to an offset. */
    boolean allDispatchersApplied(StepContext step, LogOffset offset) {
        return draft.serversWithDispatcher().stream()
                .map(s -> draft.dispatcherOf(s).orElseThrow())
                .distinct()
                .allMatch(vm -> step.inputs().dispatcherStatus().hasApplied(vm, offset));
    }

    /** Returns the shard whose requests may include the key's, if the key was never apart from it. */
    Optional<ShardId> unseparatedBaseOf(ShardId shard) {
        return split(shard).filter(s -> !separated.contains(shard)).map(SplitKey::baseShard);
    }

    void separated(ShardId shard) {
        separated.add(shard);
    }
}
