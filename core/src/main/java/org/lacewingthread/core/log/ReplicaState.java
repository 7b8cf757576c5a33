package org.lacewingthread.core.log;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.WriterId;

/**
 * Immutable state folded from the log by {@link LogReplica}.
 *
 * @param appliedOffset offset of the last record folded in
 * @param configurationRevision offset of the configuration in force
 * @param configuration the configuration in force
 * @param dataCentres roster and leader claim of each data centre
 * @param shardTables shard table of each application
 * @param drainingServers backend servers to be drained
 * @param drainingVms entry VMs to be drained
 * @param lastSequences highest sequence accepted from each writer, to drop duplicates
 */
public record ReplicaState(
        LogOffset appliedOffset,
        LogOffset configurationRevision,
        RoutingConfiguration configuration,
        Map<DataCentreId, DataCentreState> dataCentres,
        Map<ApplicationId, ShardTable> shardTables,
        Set<ServerId> drainingServers,
        Set<VmId> drainingVms,
        Map<WriterId, Long> lastSequences) {
    /** The state before the first record. */
    public static final ReplicaState EMPTY = new ReplicaState(
            LogOffset.NONE,
            LogOffset.NONE,
            RoutingConfiguration.EMPTY,
            Map.of(),
            Map.of(),
            Set.of(),
            Set.of(),
            Map.of());

    /** Copies the collections. */
    public ReplicaState {
        dataCentres = Map.copyOf(dataCentres);
        shardTables = Map.copyOf(shardTables);
        drainingServers = Set.copyOf(drainingServers);
        drainingVms = Set.copyOf(drainingVms);
        lastSequences = Map.copyOf(lastSequences);
    }

    /** Returns a data centre's state, empty if the log does not name it. */
    public DataCentreState dataCentre(DataCentreId id) {
        return dataCentres.getOrDefault(id, DataCentreState.EMPTY);
    }

    /** Returns the members of a data centre's roster in order of succession. */
    public List<RosterMember> roster(DataCentreId id) {
        return dataCentre(id).members();
    }
}
