package org.lacewingthread.core.log;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;

/** Applies records that assign shards, release them or hand over those of a lost data centre. */
final class ShardApplier {
    private ShardApplier() {}

    static ReplicaState assign(ReplicaState state, LogRecord.AssignmentsRecorded record)
            throws RejectedRecordException {
        ReplicaState next = LeadershipApplier.recordTerm(state, record.dataCentre(), record.term());
        ShardTableEdits edits = new ShardTableEdits(next);
        Map<ServerId, ServerSpec> servers = serversById(state.configuration());
        AssignmentInterner interner = new AssignmentInterner(next, record.dataCentre(), servers);
        for (ShardAssignment assignment : record.assignments()) {
            requireServersInDataCentre(servers, record.dataCentre(), assignment);
            ShardTable.Entry entry = edits.entry(assignment.shard());
            requireAssignable(entry, record, assignment);
            edits.set(assignment.shard(), new ShardTable.Entry(record.dataCentre(), null, interner.intern(assignment)));
        }
        return edits.apply();
    }

    private static Map<ServerId, ServerSpec> serversById(RoutingConfiguration configuration) {
        Map<ServerId, ServerSpec> servers = new HashMap<>();
        configuration.servers().forEach(server -> servers.put(server.id(), server));
        return servers;
    }

    /**
     * Requires the configured servers of an assignment to be in the data centre. Servers that are not
     * configured are accepted, because the leader may have assigned the shard before it learned that the
     * server was removed.
     */
    private static void requireServersInDataCentre(
            Map<ServerId, ServerSpec> servers, DataCentreId dataCentre, ShardAssignment assignment)
            throws RejectedRecordException {
        requireServerInDataCentre(servers.get(assignment.owner()), dataCentre, assignment);
        for (ServerId server : assignment.failover()) {
            requireServerInDataCentre(servers.get(server), dataCentre, assignment);
        }
    }

    private static void requireServerInDataCentre(
            ServerSpec server, DataCentreId dataCentre, ShardAssignment assignment) throws RejectedRecordException {
        if (server != null && !server.dataCentre().equals(dataCentre)) {
            throw RejectedRecordException.conflict("server \"" + server.id() + "\" named for shard \""
                    + assignment.shard() + "\" stands in \"" + server.dataCentre() + "\", not in \"" + dataCentre
                    + "\"");
        }
    }

    private static void requireAssignable(
            ShardTable.Entry entry, LogRecord.AssignmentsRecorded record, ShardAssignment assignment)
            throws RejectedRecordException {
        Term tokenTerm = assignment.token().term();
        if (tokenTerm.isAfter(record.term())) {
            throw RejectedRecordException.malformed("token " + assignment.token() + " of shard \"" + assignment.shard()
                    + "\" is above the record's term " + record.term());
        }
        if (entry.home() == null || isReleasedTo(entry, record.dataCentre())) {
            return;
        }
        requireGoverned(entry, record.dataCentre(), assignment.shard());
        requireNoOlderToken(entry.assignment(), assignment);
    }

    /**
     * Returns whether a shard was released to the data centre. Its tokens are not checked then: tokens of
     * two data centres are not comparable, and the release guarantees that no older lease is valid.
     */
    private static boolean isReleasedTo(ShardTable.Entry entry, DataCentreId dataCentre) {
        return dataCentre.equals(entry.adopter());
    }

    static void requireGoverned(ShardTable.Entry entry, DataCentreId dataCentre, ShardId shard)
            throws RejectedRecordException {
        if (!dataCentre.equals(entry.home())) {
            throw RejectedRecordException.conflict(
                    "shard \"" + shard + "\" is governed by \"" + entry.home() + "\", not by \"" + dataCentre + "\"");
        }
        if (entry.adopter() != null) {
            throw RejectedRecordException.conflict(
                    "shard \"" + shard + "\" was released to \"" + entry.adopter() + "\"");
        }
    }

    private static void requireNoOlderToken(ShardAssignment recorded, ShardAssignment assignment)
            throws RejectedRecordException {
        int order = assignment.token().compareTo(recorded.token());
        if (order < 0) {
            throw RejectedRecordException.conflict("token " + assignment.token() + " of shard \"" + assignment.shard()
                    + "\" is below the recorded " + recorded.token());
        }
        if (order == 0 && !assignment.owner().equals(recorded.owner())) {
            throw RejectedRecordException.conflict("token " + assignment.token() + " of shard \"" + assignment.shard()
                    + "\" was recorded for owner \"" + recorded.owner() + "\", not \"" + assignment.owner() + "\"");
        }
    }

    static ReplicaState release(ReplicaState state, LogRecord.ShardsReleased record) throws RejectedRecordException {
        ReplicaState next = LeadershipApplier.recordTerm(state, record.dataCentre(), record.term());
        requireRoster(state, record.target());
        boolean withdrawn = record.target().equals(record.dataCentre());
        ShardTableEdits edits = new ShardTableEdits(next);
        for (ShardId shard : record.shards()) {
            ShardTable.Entry entry = edits.entry(shard);
            if (!record.dataCentre().equals(entry.home())) {
                throw RejectedRecordException.conflict("shard \"" + shard + "\" is governed by \"" + entry.home()
                        + "\", not by \"" + record.dataCentre() + "\"");
            }
            edits.set(shard, entry.withAdopter(withdrawn ? null : record.target()));
        }
        return edits.apply();
    }

    static ReplicaState handOver(ReplicaState state, LogRecord.DataCentreHandedOver record)
            throws RejectedRecordException {
        if (record.from().equals(record.target())) {
            throw RejectedRecordException.malformed(
                    "data centre \"" + record.from() + "\" is handed over to itself; name another target");
        }
        requireRoster(state, record.target());
        ShardTableEdits edits = new ShardTableEdits(state);
        Map<ApplicationId, ShardTable> tables = new TreeMap<>(state.shardTables());
        for (var table : tables.entrySet()) {
            int index = 0;
            for (ShardTable.Entry entry : table.getValue().entries()) {
                if (entry != null && entry.isGovernedBy(record.from())) {
                    edits.set(new ShardId(table.getKey(), index), entry.withAdopter(record.target()));
                }
                index++;
            }
        }
        return edits.apply();
    }

    private static void requireRoster(ReplicaState state, DataCentreId dataCentre) throws RejectedRecordException {
        if (state.roster(dataCentre).isEmpty()) {
            throw RejectedRecordException.conflict("data centre \"" + dataCentre + "\" has no entry VMs on record");
        }
    }
}
