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
 * Shards that hold a single split key. Until every dispatcher has applied the record of the split, some VM
 * may still send requests for the key as part of its base shard, so both shards must have the same owner.
 */
final class SplitKeyShards {
    private final PlanDraft draft;
    private final Map<ApplicationId, ShardTable> lastTables = new HashMap<>();
    private final Map<ShardId, SplitKey> splits = new HashMap<>();
    private final Map<ShardId, Set<ShardId>> splitsByBase = new HashMap<>();
    private final Set<ShardId> separated = new HashSet<>();

    /**
     * A key with a shard of its own.
     *
     * @param keyHash hash of the key
     * @param baseShard the shard that the key was split out of
     * @param appliedAtOffset log offset by which the split had been applied
     */
    record SplitKey(long keyHash, ShardId baseShard, LogOffset appliedAtOffset) {}

    SplitKeyShards(PlanDraft draft) {
        this.draft = draft;
    }

    /** Updates the split keys from the shard tables that changed. */
    void refresh(StepContext step) {
        step.inputs().state().shardTables().forEach((application, table) -> {
            if (isChanged(application, table)) {
                refresh(step, application, table);
            }
        });
    }

    /** Compares instances, because consecutive replica states share the instances of unchanged tables. */
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
            boolean unchanged = known != null && known.keyHash() == hash;
            present.put(
                    shard,
                    unchanged
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

    /** Returns whether a server may own a shard although its base shard or its split keys have another owner. */
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

    /** Returns whether every dispatcher sends the key under its own shard. */
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

    /** Returns the base shard of a split key that was never separated from it; its requests may include the key's. */
    Optional<ShardId> unseparatedBaseOf(ShardId shard) {
        return split(shard).filter(s -> !separated.contains(shard)).map(SplitKey::baseShard);
    }

    /** Records that a split key was separated from its base shard. */
    void separated(ShardId shard) {
        separated.add(shard);
    }
}
