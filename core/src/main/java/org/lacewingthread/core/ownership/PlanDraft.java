package org.lacewingthread.core.ownership;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;

/** The route plan under construction. All changes and tokens of one step have the same version. */
final class PlanDraft {
    private final Term term;
    private final Map<ServerId, VmStart> dispatchers = new HashMap<>();
    private final Map<ShardId, RoutePlan.Ownership> owners = new HashMap<>();
    private final Map<ServerId, Set<ShardId>> shardsByServer = new HashMap<>();
    private long lastVersion;
    private boolean changed;
    private boolean tokenIssued;

    PlanDraft(Term term) {
        this.term = term;
    }

    /** Returns the version that the changes of this step will have. */
    long version() {
        return lastVersion + 1;
    }

    /** Returns a token that is higher than all tokens of earlier steps. */
    FencingToken newToken() {
        tokenIssued = true;
        return new FencingToken(term, version());
    }

    Optional<VmStart> dispatcherOf(ServerId server) {
        return Optional.ofNullable(dispatchers.get(server));
    }

    Set<ServerId> serversWithDispatcher() {
        return dispatchers.keySet();
    }

    void setDispatcher(ServerId server, VmStart vm) {
        dispatchers.put(server, vm);
        changed = true;
    }

    void removeDispatcher(ServerId server) {
        dispatchers.remove(server);
        changed = true;
    }

    Optional<RoutePlan.Ownership> ownerOf(ShardId shard) {
        return Optional.ofNullable(owners.get(shard));
    }

    boolean hasOwner(ShardId shard) {
        return owners.containsKey(shard);
    }

    /** Returns a copy of the shards that a server owns, in the order in which it got them. */
    List<ShardId> shardsOf(ServerId server) {
        return List.copyOf(shardsByServer.getOrDefault(server, Set.of()));
    }

    int shardCountOf(ServerId server) {
        return shardsByServer.getOrDefault(server, Set.of()).size();
    }

    /** Returns a sorted copy of the servers that own shards. */
    List<ServerId> owningServers() {
        return shardsByServer.keySet().stream().sorted().toList();
    }

    void setOwner(ShardId shard, RoutePlan.Ownership ownership) {
        removeOwner(shard);
        owners.put(shard, ownership);
        shardsByServer
                .computeIfAbsent(ownership.server(), s -> new LinkedHashSet<>())
                .add(shard);
        changed = true;
    }

    void removeOwner(ShardId shard) {
        RoutePlan.Ownership old = owners.remove(shard);
        if (old == null) {
            return;
        }
        Set<ShardId> shards = shardsByServer.get(old.server());
        shards.remove(shard);
        if (shards.isEmpty()) {
            shardsByServer.remove(old.server());
        }
        changed = true;
    }

    /** Ends a step and returns the plan if it changed. */
    Optional<RoutePlan> completeStep() {
        if (!changed && !tokenIssued) {
            return Optional.empty();
        }
        lastVersion++;
        Optional<RoutePlan> plan =
                changed ? Optional.of(new RoutePlan(term, lastVersion, dispatchers, owners)) : Optional.empty();
        changed = false;
        tokenIssued = false;
        return plan;
    }
}
