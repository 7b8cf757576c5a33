package org.lacewingthread.core.control;

import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;

/**
 * Assignment of shards to backend servers and of backend servers to entry VMs in one data centre, made by the
 * leader. An entry VM may send a request for a shard to a backend server only while it holds an unexpired
 * dispatch lease under a plan that names it as the server's dispatcher and the server as the shard's owner.
 *
 * @param term term of the leader that made the plan
 * @param version increases by at least one with every change within the term
 * @param dispatchers the only entry VM that may send requests to each backend server
 * @param owners owner of each shard that may be served; a shard that is being reassigned is absent
 */
public record RoutePlan(Term term, long version, Map<ServerId, VmStart> dispatchers, Map<ShardId, Ownership> owners) {
    /**
     * Current ownership of a shard.
     *
     * @param server backend server that owns the shard
     * @param token fencing token, higher than that of every earlier ownership of the shard
     */
    public record Ownership(ServerId server, FencingToken token) {}

    /** Takes immutable copies of the maps. */
    public RoutePlan {
        dispatchers = Map.copyOf(dispatchers);
        owners = Map.copyOf(owners);
    }

    /** Returns the owner of a shard, empty while the shard is being reassigned or is unknown. */
    public Optional<Ownership> ownerOf(ShardId shard) {
        return Optional.ofNullable(owners.get(shard));
    }

    /** Returns whether this plan is newer than another: it has a higher term, or a higher version in the same term. */
    public boolean supersedes(RoutePlan other) {
        int byTerm = term.compareTo(other.term);
        return byTerm != 0 ? byTerm > 0 : version > other.version;
    }
}
