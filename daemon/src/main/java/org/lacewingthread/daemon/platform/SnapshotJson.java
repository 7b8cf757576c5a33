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
 * @param appliedOffset offset of the last record applied
 * @param configurationRevision revision of the configuration
 * @param configuration the routing configuration
 * @param dataCentres states of the data centres, ordered by id
 * @param shardTables shard tables of all applications, also of removed ones, ordered by application id
 * @param drainingServers servers that are being drained, sorted
 * @param drainingVms VMs that are being drained, sorted
 * @param lastSequences highest sequence number seen of each recent writer, by writer id
 * @param lastOffsets offset of the record with that sequence number, by writer id
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
     * JSON form of a {@link DataCentreState}. A value that may be absent is written as a list of one or no element.
     *
     * @param id id of the data centre
     * @param rosterRevision revision of the roster
     * @param members entry VMs in the roster
     * @param claimOffset offset of the newest accepted leadership claim or later roster reset
     * @param claimant process that made the claim; empty before the first claim and after a roster reset
     * @param recordedTerm highest term that has recorded assignments; empty before the first
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
        Map<DataCentreId, DataCentreState> states = new HashMap<>();
        dataCentres.forEach(dataCentre -> states.put(dataCentre.id(), dataCentre.toState()));
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
                states,
                tables,
                Set.copyOf(drainingServers),
                Set.copyOf(drainingVms),
                sequences,
                offsets);
    }
}
