package org.lacewingthread.core.log;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;

/**
 * Interns the values in the assignments of one record: equal values become one instance. A decoder creates
 * a new instance for each occurrence, which would multiply the memory that a shard table needs.
 */
final class AssignmentInterner {
    private final Map<ServerId, ServerSpec> configuredServers;
    private final Map<ServerId, ServerId> unconfiguredServers = new HashMap<>();
    private final Map<ApplicationId, ApplicationId> applications = new HashMap<>();
    private final Map<List<ServerId>, List<ServerId>> failoverLists = new HashMap<>();
    private final Map<FencingToken, FencingToken> tokens = new HashMap<>();
    private final Map<Term, Term> terms = new HashMap<>();

    /** Creates an interner that reuses instances of the given state, in which the record's term is recorded. */
    AssignmentInterner(ReplicaState state, DataCentreId dataCentre, Map<ServerId, ServerSpec> configuredServers) {
        this.configuredServers = configuredServers;
        state.shardTables().keySet().forEach(id -> applications.put(id, id));
        Term recorded = state.dataCentre(dataCentre).recordedTerm();
        terms.put(recorded, recorded);
    }

    /** Returns an equal assignment that consists of interned values. */
    ShardAssignment intern(ShardAssignment assignment) {
        ShardId shard = assignment.shard();
        return new ShardAssignment(
                new ShardId(intern(applications, shard.application()), shard.index()),
                internServer(assignment.owner()),
                intern(failoverLists, internServers(assignment.failover())),
                internToken(assignment.token()));
    }

    private List<ServerId> internServers(List<ServerId> failover) {
        return failover.stream().map(this::internServer).toList();
    }

    private ServerId internServer(ServerId server) {
        ServerSpec spec = configuredServers.get(server);
        return spec == null ? intern(unconfiguredServers, server) : spec.id();
    }

    private FencingToken internToken(FencingToken token) {
        FencingToken interned = tokens.get(token);
        if (interned == null) {
            interned = new FencingToken(intern(terms, token.term()), token.planVersion());
            tokens.put(interned, interned);
        }
        return interned;
    }

    private static <T> T intern(Map<T, T> known, T value) {
        return known.computeIfAbsent(value, key -> key);
    }
}
