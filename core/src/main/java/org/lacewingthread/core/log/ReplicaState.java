package org.lacewingthread.core.log;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.WriterId;

/**
 * Immutable state that {@link LogReplica} derives from the log.
 *
 * @param appliedOffset offset of the last applied entry
 * @param configurationRevision offset of the record with the current configuration
 * @param configuration the current configuration
 * @param dataCentres roster and leadership of each data centre
 * @param shardTables shard table of each application. Tables of removed applications are kept, so that
 *     their owners and tokens are known if the application is added again
 * @param drainingServers backend servers that are being drained
 * @param drainingVms entry VMs that are being drained
 * @param lastSequences highest sequence number of each recent writer, to detect duplicates
 * @param lastOffsets offset of the record with that sequence number, for the same writers
 */
public record ReplicaState(
        LogOffset appliedOffset,
        LogOffset configurationRevision,
        RoutingConfiguration configuration,
        Map<DataCentreId, DataCentreState> dataCentres,
        Map<ApplicationId, ShardTable> shardTables,
        Set<ServerId> drainingServers,
        Set<VmId> drainingVms,
        Map<WriterId, Long> lastSequences,
        Map<WriterId, LogOffset> lastOffsets) {
    /** State before the first record. */
    public static final ReplicaState EMPTY = new ReplicaState(
            LogOffset.NONE,
            LogOffset.NONE,
            RoutingConfiguration.EMPTY,
            Map.of(),
            Map.of(),
            Set.of(),
            Set.of(),
            Map.of(),
            Map.of());

    /** Creates the state with copies of the collections. */
    public ReplicaState {
        dataCentres = Map.copyOf(dataCentres);
        shardTables = Map.copyOf(shardTables);
        drainingServers = Set.copyOf(drainingServers);
        drainingVms = Set.copyOf(drainingVms);
        lastSequences = SortedArrayMap.copyOf(lastSequences);
        lastOffsets = SortedArrayMap.copyOf(lastOffsets);
    }

    /** Returns the state of a data centre, {@link DataCentreState#EMPTY} if no record names it. */
    public DataCentreState dataCentre(DataCentreId id) {
        return dataCentres.getOrDefault(id, DataCentreState.EMPTY);
    }

    /** Returns the members of a data centre's roster in order of leader succession. */
    public List<RosterMember> roster(DataCentreId id) {
        return dataCentre(id).members();
    }

    /** Returns the shard table of an application, null if the application was never configured. */
    public ShardTable shardTable(ApplicationId id) {
        return shardTables.get(id);
    }

    /** Returns the configuration of a backend server, null if it is not configured. */
    public ServerSpec server(ServerId id) {
        return configuration.server(id).orElse(null);
    }

    /** Returns whether a backend server is recorded as owner of a shard of any configured application. */
    public boolean ownsShards(ServerId id) {
        return configuration.applications().stream()
                .map(application -> shardTables.get(application.id()))
                .filter(Objects::nonNull)
                .flatMap(table -> table.entries().stream())
                .anyMatch(entry -> entry != null
                        && entry.assignment() != null
                        && entry.assignment().owner().equals(id));
    }

    ReplicaState withAppliedOffset(LogOffset offset) {
        return new ReplicaState(
                offset,
                configurationRevision,
                configuration,
                dataCentres,
                shardTables,
                drainingServers,
                drainingVms,
                lastSequences,
                lastOffsets);
    }

    ReplicaState withConfiguration(
            LogOffset revision,
            RoutingConfiguration newConfiguration,
            Map<ApplicationId, ShardTable> newTables,
            Set<ServerId> newDrainingServers) {
        return new ReplicaState(
                appliedOffset,
                revision,
                newConfiguration,
                dataCentres,
                newTables,
                newDrainingServers,
                drainingVms,
                lastSequences,
                lastOffsets);
    }

    ReplicaState withDataCentre(DataCentreId id, DataCentreState dataCentre) {
        Map<DataCentreId, DataCentreState> changed = new HashMap<>(dataCentres);
        changed.put(id, dataCentre);
        return new ReplicaState(
                appliedOffset,
                configurationRevision,
                configuration,
                changed,
                shardTables,
                drainingServers,
                drainingVms,
                lastSequences,
                lastOffsets);
    }

    ReplicaState withShardTables(Map<ApplicationId, ShardTable> newTables) {
        return withConfiguration(configurationRevision, configuration, newTables, drainingServers);
    }

    ReplicaState withShardTable(ApplicationId id, ShardTable table) {
        Map<ApplicationId, ShardTable> changed = new HashMap<>(shardTables);
        changed.put(id, table);
        return withShardTables(changed);
    }

    ReplicaState withDraining(Set<ServerId> servers, Set<VmId> vms) {
        return new ReplicaState(
                appliedOffset,
                configurationRevision,
                configuration,
                dataCentres,
                shardTables,
                servers,
                vms,
                lastSequences,
                lastOffsets);
    }

    ReplicaState withWriters(Map<WriterId, Long> sequences, Map<WriterId, LogOffset> offsets) {
        return new ReplicaState(
                appliedOffset,
                configurationRevision,
                configuration,
                dataCentres,
                shardTables,
                drainingServers,
                drainingVms,
                sequences,
                offsets);
    }
}
