package org.lacewingthread.core.control;

import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;

/**
 * The leader's word on who serves what inside one data centre. An entry VM may send a request for a
 * shard to a backend server only while it holds an unexpired dispatch lease under a plan that names
 * it as the server's dispatcher and the server as the shard's owner.
 *
 * @param term term of the leader that made the plan
 * @param version rises by at least one with every change within the term
 * @param dispatchers entry VM that alone sends requests to each backend server
 * @param owners owner of each shard that may be served; a shard in motion is absent
 */
public record RoutePlan(Term term, long version, Map<ServerId, VmStart> dispatchers, Map<ShardId, Ownership> owners) {
    /**
     * A shard's present owner.
     *
     * @param server the backend server
     * @param token orders this ownership against others of the shard
     */
    public record Ownership(ServerId server, FencingToken token) {}

    /** Copies the maps. */
    public RoutePlan {
        dispatchers = Map.copyOf(dispatchers);
        owners = Map.copyOf(owners);
    }

    /** Returns the owner of a shard, empty while it is in motion or unknown. */
    public Optional<Ownership> ownerOf(ShardId shard) {
        return Optional.ofNullable(owners.get(shard));
    }

    /** Returns whether this plan replaces another. */
    public boolean supersedes(RoutePlan other) {
        int byTerm = term.compareTo(other.term);
        return byTerm != 0 ? byTerm > 0 : version > other.version;
    }
}
