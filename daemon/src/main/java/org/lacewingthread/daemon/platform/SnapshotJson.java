package org.lacewingthread.daemon.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.log.ShardTable;

/**
 * JSON form of a {@link ReplicaState}.
 *
 * @param appliedOffset as in the state
 * @param configurationRevision as in the state
 * @param configuration as in the state
 * @param dataCentres as in the state, in order of id
 * @param shardTables as in the state, in order of application id
 * @param drainingServers as in the state, sorted
 * @param drainingVms as in the state, sorted
 * @param lastSequences as in the state, by the writer's id
 * @param lastOffsets as in the state, by the writer's id
 */
record SnapshotJson(
        LogOffset appliedOffset,
        LogOffset configurationRevision,
        RoutingConfiguration configuration,
        List<DataCentreJson> dataCentres,
        List<ShardTableJson> shardTables,
        List<ServerId> drainingServers,
        List<VmId> drainingVms,
        Map<String, Long> lastSequences,
        Map<String, Long> lastOffsets) {
    /**
     * JSON form of a {@link DataCentreState}. A list stands for a value that may be absent.
     *
     * @param id the data centre
     * @param rosterRevision as in the state
     * @param members as in the state
     * @param claimOffset as in the state
     * @param claimant the claimant, or empty
     * @param recordedTerm the recorded term, or empty
     */
    record DataCentreJson(
            DataCentreId id,
            LogOffset rosterRevision,
            List<RosterMember> members,
            LogOffset claimOffset,
            List<VmStart> claimant,
            List<Term> recordedTerm) {
        static DataCentreJson of(DataCentreId id, DataCentreState state) {
            return new DataCentreJson(
                    id,
                    state.rosterRevision(),
                    state.members(),
                    state.claimOffset(),
                    state.claimant() == null ? List.of() : List.of(state.claimant()),
                    state.recordedTerm() == null ? List.of() : List.of(state.recordedTerm()));
        }

        DataCentreState toState() {
            return new DataCentreState(
                    rosterRevision, members, claimOffset, firstOrNull(claimant), firstOrNull(recordedTerm));
        }

        private static <T> T firstOrNull(List<T> values) {
            return values.isEmpty() ? null : values.get(0);
        }
    }

    static SnapshotJson of(ReplicaState state) {
        List<DataCentreJson> dataCentres = new ArrayList<>();
        new TreeMap<>(state.dataCentres()).forEach((id, value) -> dataCentres.add(DataCentreJson.of(id, value)));
        List<ShardTableJson> shardTables = new ArrayList<>();
        new TreeMap<>(state.shardTables()).forEach((id, value) -> shardTables.add(ShardTableJson.of(id, value)));
        Map<String, Long> lastSequences = new TreeMap<>();
        state.lastSequences().forEach((writer, sequence) -> lastSequences.put(writer.value(), sequence));
        Map<String, Long> lastOffsets = new TreeMap<>();
        state.lastOffsets().forEach((writer, offset) -> lastOffsets.put(writer.value(), offset.value()));
        return new SnapshotJson(
                state.appliedOffset(),
                state.configurationRevision(),
                state.configuration(),
                dataCentres,
                shardTables,
                List.copyOf(new TreeSet<>(state.drainingServers())),
                List.copyOf(new TreeSet<>(state.drainingVms())),
                lastSequences,
                lastOffsets);
    }

    ReplicaState toState() {
        Map<DataCentreId, DataCentreState> centres = new HashMap<>();
        dataCentres.forEach(centre -> centres.put(centre.id(), centre.toState()));
        Map<ApplicationId, ShardTable> tables = new HashMap<>();
        shardTables.forEach(table -> tables.put(table.application(), table.toTable()));
        Map<WriterId, Long> sequences = new HashMap<>();
        lastSequences.forEach((writer, sequence) -> sequences.put(new WriterId(writer), sequence));
        Map<WriterId, LogOffset> offsets = new HashMap<>();
        lastOffsets.forEach((writer, offset) -> offsets.put(new WriterId(writer), new LogOffset(offset)));
        return new ReplicaState(
                appliedOffset,
                configurationRevision,
                configuration,
                centres,
                tables,
                Set.copyOf(drainingServers),
                Set.copyOf(drainingVms),
                sequences,
                offsets);
    }
}
