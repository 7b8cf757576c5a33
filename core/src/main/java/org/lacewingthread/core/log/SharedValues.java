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
 * Replaces equal values in the assignments of one record by one instance each. A decoder makes a new
 * instance for every mention, which would multiply the memory of a shard table.
 */
final class SharedValues {
    private final Map<ServerId, ServerSpec> configured;
    private final Map<ServerId, ServerId> others = new HashMap<>();
    private final Map<ApplicationId, ApplicationId> applications = new HashMap<>();
    private final Map<List<ServerId>, List<ServerId>> failoverLists = new HashMap<>();
    private final Map<FencingToken, FencingToken> tokens = new HashMap<>();
    private final Map<Term, Term> terms = new HashMap<>();

    /** Takes shared instances from a state in which the record's term is recorded already. */
    SharedValues(ReplicaState state, DataCentreId dataCentre, Map<ServerId, ServerSpec> configured) {
        this.configured = configured;
        state.shardTables().keySet().forEach(id -> applications.put(id, id));
        Term recorded = state.dataCentre(dataCentre).recordedTerm();
        terms.put(recorded, recorded);
    }

    /** Returns an equal assignment of shared parts. */
    ShardAssignment share(ShardAssignment assignment) {
        ShardId shard = assignment.shard();
        return new ShardAssignment(
                new ShardId(share(applications, shard.application()), shard.index()),
                shareServer(assignment.owner()),
                share(failoverLists, shareServers(assignment.failover())),
                shareToken(assignment.token()));
    }

    private List<ServerId> shareServers(List<ServerId> failover) {
        return failover.stream().map(this::shareServer).toList();
    }

    private ServerId shareServer(ServerId server) {
        ServerSpec spec = configured.get(server);
        return spec == null ? share(others, server) : spec.id();
    }

    private FencingToken shareToken(FencingToken token) {
        FencingToken shared = tokens.get(token);
        if (shared == null) {
            shared = new FencingToken(share(terms, token.term()), token.planVersion());
            tokens.put(shared, shared);
        }
        return shared;
    }

    private static <T> T share(Map<T, T> known, T value) {
        return known.computeIfAbsent(value, same -> same);
    }
}
