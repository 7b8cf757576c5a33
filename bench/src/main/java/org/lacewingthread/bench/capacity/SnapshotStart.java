package org.lacewingthread.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.routing.RequestClassifier;
import org.lacewingthread.daemon.platform.LogRecordCodec;

/**
 * Prints the cost of starting from a snapshot of a running deployment: the size of the snapshot, the time to decode
 * it, restore a replica and compile the request selectors, and the heap size of the restored replica.
 *
 * <pre>{@code
 * java -cp <jar and dependencies> org.lacewingthread.bench.capacity.SnapshotStart
 * }</pre>
 */
public final class SnapshotStart {
    private static final int ROUNDS = 20;
    private static final long SETTLE_MILLIS = 30_000;
    private static final int MAX_RECORD_BYTES = 64 << 20;

    private SnapshotStart() {}

    /** Measures two deployment sizes and prints the table. */
    public static void main(String[] args) throws LogRecordCodec.RecordTooLargeException {
        System.out.println("shards servers dataCentres snapshotBytes firstStartMicros bestStartMicros heapBytes");
        measure(new DeploymentSize(4, 1, 9, 2_048));
        measure(new DeploymentSize(7, 1, 43, 16_384));
    }

    private static void measure(DeploymentSize size) throws LogRecordCodec.RecordTooLargeException {
        byte[] snapshot = snapshotOf(size);
        long firstNanos = -1;
        long bestNanos = Long.MAX_VALUE;
        List<LogReplica> retainedReplicas = new ArrayList<>();
        long heapBefore = usedHeapBytes();
        for (int round = 0; round < ROUNDS; round++) {
            long startNanos = System.nanoTime();
            retainedReplicas.add(startReplica(snapshot));
            long nanos = System.nanoTime() - startNanos;
            firstNanos = firstNanos < 0 ? nanos : firstNanos;
            bestNanos = Math.min(bestNanos, nanos);
        }
        long heapBytes = (usedHeapBytes() - heapBefore) / retainedReplicas.size();
        System.out.printf(
                "%d %d %d %d %d %d %d%n",
                size.shards(),
                size.servers() * size.dataCentres(),
                size.dataCentres(),
                snapshot.length,
                TimeUnit.NANOSECONDS.toMicros(firstNanos),
                TimeUnit.NANOSECONDS.toMicros(bestNanos),
                heapBytes);
    }

    private static byte[] snapshotOf(DeploymentSize size) throws LogRecordCodec.RecordTooLargeException {
        MeteredDeployment deployment = new MeteredDeployment(size);
        deployment.queue.runFor(SETTLE_MILLIS);
        ReplicaState state = deployment.leader().view.state();
        RecordHeader header = new RecordHeader(new WriterId("bench"), 0, "bench", 0);
        return new LogRecordCodec(MAX_RECORD_BYTES).encode(header, new LogRecord.SnapshotTaken(state));
    }

    private static LogReplica startReplica(byte[] snapshot) {
        LogReplica replica = new LogReplica();
        LogEntry entry = new LogRecordCodec(MAX_RECORD_BYTES).decode(new LogOffset(1_000_000), snapshot);
        ReplicaState state = replica.newerSnapshot(entry).orElseThrow();
        if (!replica.restore(state)) {
            throw new IllegalStateException("snapshot of " + snapshot.length + " bytes was not restored");
        }
        RequestClassifier.compile(replica.state().configuration());
        return replica;
    }

    private static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
