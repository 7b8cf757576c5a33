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
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.log.ShardTable;

/** In-memory log that applies only the record types that ownership needs; appended records apply after a delay. */
final class FakeLog {
    private static final DataCentreState OTHER_DATA_CENTRE = new DataCentreState(
            LogOffset.NONE,
            List.of(new RosterMember(new VmStart(new VmId("other"), 1), "127.0.0.1", 7000)),
            LogOffset.NONE,
            null,
            null);

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

    private record Append(LogRecord record, long atMillis) {}

    FakeLog(DataCentreId dataCentre, RoutingConfiguration configuration) {
        this.dataCentre = dataCentre;
        publish(configuration);
    }

    /** Publishes a configuration and creates the shard tables of new applications. */
    void publish(RoutingConfiguration published) {
        configuration = published;
        configurationOffset = ++offset;
        for (ApplicationSpec application : published.applications()) {
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
        appends.add(new Append(record, atMillis));
    }

    /** Drops records that are not yet applied, because a new leader's claim makes replicas ignore them. */
    void startTerm() {
        offset++;
        appends.clear();
    }

    /** Keeps records that are not yet applied: a term begun without a claim leaves those of the last one valid. */
    void startTermWithoutClaim() {
        offset++;
    }

    /** Applies the appended records whose delay has passed. */
    void applyUntil(long nowMillis) {
        for (Append append : List.copyOf(appends)) {
            if (append.atMillis() <= nowMillis) {
                appends.remove(append);
                fold(append.record());
            }
        }
    }

    private void fold(LogRecord record) {
        if (record instanceof LogRecord.AssignmentsRecorded assigned) {
            applyAssignments(assigned);
        } else if (record instanceof LogRecord.KeysSplit split) {
            split.keyHashes().forEach(hash -> applySplit(split.application(), hash));
        } else if (record instanceof LogRecord.KeysMerged merged) {
            merged.keyHashes().forEach(hash -> applyMerge(merged.application(), hash));
        } else if (record instanceof LogRecord.ShardsReleased released) {
            released.shards()
                    .forEach(s -> setEntry(
                            s.application(),
                            s.index(),
                            new ShardTable.Entry(dataCentre, released.target(), recorded(s))));
        }
        applied.add(record);
    }

    private void applySplit(ApplicationId application, long hash) {
        ShardTable old = tables.get(application);
        ShardTable.Entry base = old.entries().get((int) (hash & (old.shardCount() - 1)));
        int index = old.entries().size();
        ShardAssignment copy = new ShardAssignment(
                new ShardId(application, index),
                base.assignment().owner(),
                base.assignment().failover(),
                base.assignment().token());
        setEntry(application, index, new ShardTable.Entry(base.home(), null, copy));
        Map<Long, Integer> keys = new HashMap<>(old.splitKeys());
        keys.put(hash, index);
        tables.put(
                application,
                new ShardTable(old.shardCount(), tables.get(application).entries(), keys));
    }

    private void applyMerge(ApplicationId application, long hash) {
        ShardTable old = tables.get(application);
        Map<Long, Integer> keys = new HashMap<>(old.splitKeys());
        setEntry(application, keys.remove(hash), null);
        tables.put(
                application,
                new ShardTable(old.shardCount(), tables.get(application).entries(), keys));
    }

    private void applyAssignments(LogRecord.AssignmentsRecorded record) {
        offset++;
        boolean ofOlderTerm = recordedTerm != null && recordedTerm.isAfter(record.term());
        boolean stale = ofOlderTerm || record.assignments().stream().anyMatch(a -> isOlder(a, recorded(a.shard())));
        if (stale) {
            rejected++;
            return;
        }
        recordedTerm = record.term();
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

    /** Returns the recorded assignment of a shard, or null if there is none. */
    ShardAssignment recorded(ShardId shard) {
        ShardTable.Entry entry = tables.get(shard.application()).entries().get(shard.index());
        return entry == null ? null : entry.assignment();
    }

    boolean isNewer(ShardId shard, FencingToken token) {
        ShardAssignment recorded = recorded(shard);
        return recorded != null && token.compareTo(recorded.token()) > 0;
    }

    private static boolean isOlder(ShardAssignment assignment, ShardAssignment recorded) {
        return recorded != null && assignment.token().compareTo(recorded.token()) < 0;
    }

    ShardTable table(ApplicationId application) {
        return tables.get(application);
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
        Map<DataCentreId, DataCentreState> centres = new HashMap<>();
        configuration.servers().forEach(s -> centres.put(s.dataCentre(), OTHER_DATA_CENTRE));
        centres.put(dataCentre, centre);
        return new ReplicaState(
                new LogOffset(offset),
                new LogOffset(configurationOffset),
                configuration,
                centres,
                tables,
                draining,
                Set.of(),
                Map.of(),
                Map.of());
    }
}
