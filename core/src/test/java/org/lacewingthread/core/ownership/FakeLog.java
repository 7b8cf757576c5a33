package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.log.ShardTable;

/** A log with the small part of the fold that ownership needs; appended records apply after a delay. */
final class FakeLog {
    final List<LogRecord> applied = new ArrayList<>();
    private final DataCentreId dataCentre;
    private final Map<ApplicationId, ShardTable> tables = new HashMap<>();
    private final List<Append> appends = new ArrayList<>();
    private final Set<ServerId> draining = new HashSet<>();
    private RoutingConfiguration configuration;
    int rejected;
    private long offset;
    private long configurationOffset;
    private Term recordedTerm;

    private record Append(LogRecord.AssignmentsRecorded record, long atMillis) {}

    FakeLog(DataCentreId dataCentre, RoutingConfiguration configuration) {
        this.dataCentre = dataCentre;
        publish(configuration);
    }

    void publish(RoutingConfiguration newest) {
        configuration = newest;
        configurationOffset = ++offset;
        for (ApplicationSpec application : newest.applications()) {
            List<ShardTable.Entry> entries = new ArrayList<>();
            for (int i = 0; i < application.shardCount(); i++) {
                entries.add(ShardTable.Entry.UNASSIGNED);
            }
            tables.putIfAbsent(application.id(), new ShardTable(application.shardCount(), entries, Map.of()));
        }
    }

    void setDraining(ServerId server, boolean value) {
        offset++;
        if (value) {
            draining.add(server);
        } else {
            draining.remove(server);
        }
    }

    void append(LogRecord record, long atMillis) {
        appends.add(new Append((LogRecord.AssignmentsRecorded) record, atMillis));
    }

    /** Drops what is under way, as a new claim makes the fold do. */
    void claim() {
        offset++;
        appends.clear();
    }

    void applyUntil(long nowMillis) {
        for (Append append : List.copyOf(appends)) {
            if (append.atMillis() <= nowMillis) {
                appends.remove(append);
                fold(append.record());
            }
        }
    }

    private void fold(LogRecord.AssignmentsRecorded record) {
        offset++;
        boolean stale = record.assignments().stream().anyMatch(a -> isOlder(a, recorded(a.shard())));
        if (stale) {
            rejected++;
            return;
        }
        recordedTerm = record.term();
        applied.add(record);
        Map<ApplicationId, List<ShardTable.Entry>> changed = new HashMap<>();
        for (ShardAssignment assignment : record.assignments()) {
            ApplicationId application = assignment.shard().application();
            changed.computeIfAbsent(
                            application, a -> new ArrayList<>(tables.get(a).entries()))
                    .set(assignment.shard().index(), new ShardTable.Entry(dataCentre, null, assignment));
        }
        changed.forEach((application, entries) -> {
            ShardTable old = tables.get(application);
            tables.put(application, new ShardTable(old.shardCount(), entries, old.splitKeys()));
        });
    }

    ShardAssignment recorded(ShardId shard) {
        return tables.get(shard.application()).entries().get(shard.index()).assignment();
    }

    boolean isNewer(ShardId shard, FencingToken token) {
        ShardAssignment recorded = recorded(shard);
        return recorded != null && token.compareTo(recorded.token()) > 0;
    }

    private static boolean isOlder(ShardAssignment assignment, ShardAssignment recorded) {
        return recorded != null && assignment.token().compareTo(recorded.token()) < 0;
    }

    void setEntry(ApplicationId application, int index, ShardTable.Entry entry) {
        ShardTable old = tables.get(application);
        List<ShardTable.Entry> entries = new ArrayList<>(old.entries());
        while (entries.size() <= index) {
            entries.add(null);
        }
        entries.set(index, entry);
        tables.put(application, new ShardTable(old.shardCount(), entries, old.splitKeys()));
        offset++;
    }

    ReplicaState state() {
        DataCentreState centre = new DataCentreState(LogOffset.NONE, List.of(), LogOffset.NONE, null, recordedTerm);
        return new ReplicaState(
                new LogOffset(offset),
                new LogOffset(configurationOffset),
                configuration,
                Map.of(dataCentre, centre),
                tables,
                draining,
                Set.of(),
                Map.of(),
                Map.of());
    }
}
