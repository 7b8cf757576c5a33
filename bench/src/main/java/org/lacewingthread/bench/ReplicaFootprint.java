package org.lacewingthread.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.log.ShardAssignment;

/**
 * Prints the heap size of a replica's state, and the time to apply a record that assigns all shards and a record that
 * assigns a single shard, by the number of shards and servers.
 */
public final class ReplicaFootprint {
    private static final DataCentreId DATA_CENTRE = new DataCentreId("maras");
    private static final int FAILOVER_SERVERS = 3;
    private static final int SINGLE_ASSIGNMENT_RECORDS = 2_000;
    private static final int ROUNDS = 10;

    private final int shards;
    private final int servers;
    private final LogReplica replica = new LogReplica();
    private long sequence;

    private ReplicaFootprint(int shards, int servers) {
        this.shards = shards;
        this.servers = servers;
    }

    /** Measures all sizes and prints the table. */
    public static void main(String[] args) {
        System.out.println("shards servers heapBytes heapBytesPerShard foldAllMicros foldOneNanos");
        measure(1_024, 20);
        measure(16_384, 20);
        measure(16_384, 300);
        measure(65_536, 300);
    }

    private static void measure(int shards, int servers) {
        long foldAllNanos = Long.MAX_VALUE;
        long foldOneNanos = Long.MAX_VALUE;
        List<ReplicaFootprint> retainedFootprints = new ArrayList<>();
        long heapBefore = usedHeapBytes();
        for (int round = 0; round < ROUNDS; round++) {
            ReplicaFootprint footprint = new ReplicaFootprint(shards, servers);
            footprint.prepare();
            foldAllNanos = Math.min(foldAllNanos, footprint.foldAll());
            foldOneNanos = Math.min(foldOneNanos, footprint.foldSingles() / SINGLE_ASSIGNMENT_RECORDS);
            retainedFootprints.add(footprint);
        }
        long heapBytes = (usedHeapBytes() - heapBefore) / retainedFootprints.size();
        System.out.printf(
                "%d %d %d %d %d %d%n",
                shards,
                servers,
                heapBytes,
                heapBytes / shards,
                TimeUnit.NANOSECONDS.toMicros(foldAllNanos),
                foldOneNanos);
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void prepare() {
        append(new LogRecord.ConfigurationPublished(LogOffset.NONE, configuration()));
        RosterMember member = new RosterMember(leader(), "10.0.0.1", 7_000);
        append(new LogRecord.RosterChanged(DATA_CENTRE, LogOffset.NONE, List.of(member)));
        append(new LogRecord.LeaderClaimed(DATA_CENTRE, LogOffset.NONE, leader()));
    }

    private RoutingConfiguration configuration() {
        ApplicationSpec application =
                new ApplicationSpec(ledger(), shards, PlacementProfile.MINIMISE_CHURN, List.of(), List.of());
        List<ServerSpec> specs = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            specs.add(new ServerSpec(server(i), DATA_CENTRE, "10.1.0.1", 1 + i, List.of(), 2, 130, false, false));
        }
        return new RoutingConfiguration(List.of(application), specs);
    }

    private long foldAll() {
        List<ShardAssignment> all = new ArrayList<>();
        for (int index = 0; index < shards; index++) {
            all.add(assignment(index, 0));
        }
        return append(new LogRecord.AssignmentsRecorded(DATA_CENTRE, term(), all));
    }

    private long foldSingles() {
        long nanos = 0;
        for (int i = 0; i < SINGLE_ASSIGNMENT_RECORDS; i++) {
            nanos += append(
                    new LogRecord.AssignmentsRecorded(DATA_CENTRE, term(), List.of(assignment(i % shards, 1 + i))));
        }
        return nanos;
    }

    /** Returns an assignment that shares no objects with other assignments, as if it had been decoded. */
    private ShardAssignment assignment(int index, long planVersion) {
        List<ServerId> failover = new ArrayList<>();
        for (int i = 1; i <= FAILOVER_SERVERS; i++) {
            failover.add(server(index + i));
        }
        FencingToken token = new FencingToken(term(), planVersion);
        return new ShardAssignment(new ShardId(ledger(), index), server(index), failover, token);
    }

    private static ApplicationId ledger() {
        return new ApplicationId(new String("ledger".toCharArray()));
    }

    private static VmStart leader() {
        return new VmStart(new VmId(new String("maras-1".toCharArray())), 1);
    }

    private static Term term() {
        return new Term(new LogOffset(2), 0, leader());
    }

    private ServerId server(int index) {
        return new ServerId("server-" + index % servers);
    }

    /** Applies a record and returns the time this took, in nanoseconds. */
    private long append(LogRecord body) {
        RecordHeader header = new RecordHeader(new WriterId("bench"), sequence++, "bench", 0);
        LogEntry entry = new LogEntry(replica.nextOffset(), header, body);
        long startNanos = System.nanoTime();
        boolean accepted = replica.apply(entry).isAccepted();
        long nanos = System.nanoTime() - startNanos;
        if (!accepted) {
            throw new IllegalStateException("record " + header.sequence() + " was rejected");
        }
        return nanos;
    }
}
