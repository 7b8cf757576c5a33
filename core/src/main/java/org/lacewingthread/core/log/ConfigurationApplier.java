package org.lacewingthread.core.log;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.ConfigurationValidator;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;

/** Applies published configurations to the state. */
final class ConfigurationApplier {
    private ConfigurationApplier() {}

    static ReplicaState publish(ReplicaState state, LogRecord.ConfigurationPublished record, LogOffset offset)
            throws RejectedRecordException {
        if (!record.baseRevision().equals(state.configurationRevision())) {
            throw RejectedRecordException.conflict("configuration is at revision " + state.configurationRevision()
                    + ", not at " + record.baseRevision());
        }
        RoutingConfiguration configuration = record.configuration();
        List<ConfigurationValidator.Problem> errors =
                ConfigurationValidator.validate(configuration, state.configuration()).stream()
                        .filter(ConfigurationValidator.Problem::isError)
                        .toList();
        if (!errors.isEmpty()) {
            throw RejectedRecordException.malformed(errors.get(0).toString());
        }
        requireNoShardsOnChangedServers(state, configuration);
        return state.withConfiguration(
                offset,
                configuration,
                shardTablesFor(state, configuration),
                configuredDrainingServers(state, configuration));
    }

    /**
     * Adds a shard table for each new application. The table of a removed application is kept, so an
     * application that is added again must have the shard count that it had before.
     */
    private static Map<ApplicationId, ShardTable> shardTablesFor(ReplicaState state, RoutingConfiguration configuration)
            throws RejectedRecordException {
        Map<ApplicationId, ShardTable> tables = new HashMap<>(state.shardTables());
        for (ApplicationSpec application : configuration.applications()) {
            ShardTable table = tables.get(application.id());
            if (table == null) {
                tables.put(application.id(), ShardTable.unassigned(application.shardCount()));
            } else if (table.shardCount() != application.shardCount()) {
                throw RejectedRecordException.malformed("application \"" + application.id() + "\" had "
                        + table.shardCount() + " shards and can't have " + application.shardCount());
            }
        }
        return tables;
    }

    private static Set<ServerId> configuredDrainingServers(ReplicaState state, RoutingConfiguration configuration) {
        Set<ServerId> draining = new HashSet<>(state.drainingServers());
        draining.removeIf(id -> configuration.server(id).isEmpty());
        return draining;
    }

    /**
     * Rejects a change of the data centre, address or token checking of a server that owns shards.
     * Otherwise leases of the old server would be taken for leases of the new server with the same id.
     */
    private static void requireNoShardsOnChangedServers(ReplicaState state, RoutingConfiguration configuration)
            throws RejectedRecordException {
        Set<ServerId> changed = new HashSet<>();
        for (ServerSpec server : configuration.servers()) {
            ServerSpec old = state.server(server.id());
            if (old != null && !old.isSameProcessAs(server)) {
                changed.add(server.id());
            }
        }
        if (changed.isEmpty()) {
            return;
        }
        for (ServerSpec server : configuration.servers()) {
            if (changed.contains(server.id()) && state.ownsShards(server.id())) {
                throw RejectedRecordException.conflict("server \"" + server.id()
                        + "\" owns shards; drain it before its data centre, address or token checking changes");
            }
        }
    }
}
