package org.lacewingthread.bench.capacity;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.daemon.peer.LogEntryCodec;
import org.lacewingthread.daemon.peer.PeerFrameCodec;
import org.lacewingthread.daemon.platform.LogRecordCodec;

/**
 * Prints how long a configuration record takes to reach the last entry VM for each {@link RelayTopology}, in simulated
 * time, and the cost of reading and relaying it. VMs fail at the moment of publication, which is the worst case. A
 * child detects a failed parent by missed heartbeats and then asks its closest live ancestor.
 *
 * <pre>{@code
 * java -cp <jar and dependencies> org.lacewingthread.bench.capacity.Propagation
 * }</pre>
 */
public final class Propagation {
    private static final int DATA_CENTRES = 7;
    private static final int FIRST_REGION_DATA_CENTRES = 4;
    private static final int SERVERS = 300;
    private static final int ROUNDS = 200;
    private static final long SEED = 1;
    private static final double INTRA_DATA_CENTRE_MILLIS = 0.5;
    private static final double INTRA_REGION_MILLIS = 1.5;
    private static final double INTER_REGION_MILLIS = 30;
    private static final double LOG_SERVICE_MILLIS = 5;
    private static final double PUSH_MILLIS = 0.05;
    private static final double REQUEST_TIMEOUT_MILLIS = 250;
    private static final int MISSED_HEARTBEATS = 3;
    private static final ControlSettings SETTINGS = ControlSettings.DEFAULT;

    private final List<int[]> dataCentres;
    private final int[] parents;
    private final int[] dataCentreOf;
    private final Random random = new Random(SEED);
    private Set<Integer> failedVms = Set.of();
    private double[] arrivalMillisByVm = {};

    private Propagation(RelayTopology topology, int vms, int fanOut) {
        dataCentres = RelayTopology.numberVms(vms, DATA_CENTRES);
        parents = topology.parents(dataCentres, fanOut);
        dataCentreOf = new int[vms + 1];
        for (int d = 0; d < dataCentres.size(); d++) {
            for (int vm : dataCentres.get(d)) {
                dataCentreOf[vm] = d;
            }
        }
    }

    /** Measures all topologies, deployment sizes and numbers of failures, and prints the table. */
    public static void main(String[] args) throws LogRecordCodec.RecordTooLargeException {
        Locale.setDefault(Locale.ROOT);
        byte[] record = configurationRecord();
        int pushBytes =
                frameBytes(new PeerMessage.LogRecordsOffered(List.of(configurationEntry()), new LogOffset(100_000)));
        int livenessBytes = frameBytes(new PeerMessage.ProgressReported(
                new DataCentreId("dc-0"), new LogOffset(100_000), new LogOffset(90_000)));
        System.out.printf(
                "record %d bytes, push %d bytes, liveness %d bytes%n", record.length, pushBytes, livenessBytes);
        System.out.println("way vms fanOut failed medianLastMillis worstLastMillis logReads/s addedMessages/s"
                + " addedBytes/s/VM busiestVmAddedBytes/s busiestVmBytesPerRecord");
        for (int vms : new int[] {12, 150, 450}) {
            for (RelayTopology topology : RelayTopology.values()) {
                for (int fanOut : topology.isTree() ? new int[] {4, 8} : new int[] {vms}) {
                    for (int failures : new int[] {0, 2, 32}) {
                        measure(topology, vms, fanOut, failures, pushBytes, livenessBytes);
                    }
                }
            }
        }
    }

    private static void measure(
            RelayTopology topology, int vms, int fanOut, int failures, int pushBytes, int livenessBytes) {
        if (failures >= vms) {
            return;
        }
        Propagation propagation = new Propagation(topology, vms, fanOut);
        double[] lastMillis = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            lastMillis[round] = propagation.publish(failures);
        }
        Arrays.sort(lastMillis);
        long readers = Arrays.stream(propagation.parents)
                .filter(p -> p == RelayTopology.LOG_NODE)
                .count();
        double livenessPerSecond = topology.isTree() ? 1_000.0 / SETTINGS.heartbeatMillis() : 0;
        double links = vms - readers;
        int busiestChildren = propagation.maxChildren();
        System.out.printf(
                "%s %d %d %d %.0f %.0f %.0f %.0f %.0f %.0f %d%n",
                topology,
                vms,
                fanOut,
                failures,
                lastMillis[ROUNDS / 2],
                lastMillis[ROUNDS - 1],
                readers * 1_000.0 / SETTINGS.logReadMillis(),
                links * livenessPerSecond,
                2 * links * livenessPerSecond * livenessBytes / vms,
                busiestChildren * livenessPerSecond * livenessBytes,
                (long) busiestChildren * pushBytes);
    }

    private int maxChildren() {
        int[] children = new int[parents.length + 1];
        for (int parent : parents) {
            children[parent]++;
        }
        children[RelayTopology.LOG_NODE] = 0;
        return Arrays.stream(children).max().orElse(0);
    }

    /** Publishes a record while some VMs fail and returns the milliseconds until the last live VM has received it. */
    private double publish(int failures) {
        Set<Integer> failing = new HashSet<>();
        if (failures > 0) {
            failing.add(dataCentres.get(random.nextInt(dataCentres.size()))[0]);
        }
        while (failing.size() < failures) {
            failing.add(1 + random.nextInt(parents.length));
        }
        failedVms = failing;
        arrivalMillisByVm = new double[parents.length + 1];
        Arrays.fill(arrivalMillisByVm, -1);
        double lastMillis = 0;
        for (int vm = 1; vm <= parents.length; vm++) {
            if (!failedVms.contains(vm)) {
                lastMillis = Math.max(lastMillis, arrivalMillis(vm));
            }
        }
        return lastMillis;
    }

    private double arrivalMillis(int vm) {
        if (arrivalMillisByVm[vm] < 0) {
            arrivalMillisByVm[vm] = computeArrivalMillis(vm);
        }
        return arrivalMillisByVm[vm];
    }

    private double computeArrivalMillis(int vm) {
        int parent = parents[vm - 1];
        if (parent == RelayTopology.LOG_NODE) {
            return random.nextDouble() * SETTINGS.logReadMillis() + logReadMillis(vm);
        }
        if (!failedVms.contains(parent)) {
            return arrivalMillis(parent) + pushDelayMillis(parent, vm) + linkMillis(parent, vm);
        }
        double requestMillis = SETTINGS.heartbeatMillis() * (MISSED_HEARTBEATS - random.nextDouble());
        int ancestor = parents[parent - 1];
        while (ancestor != RelayTopology.LOG_NODE && failedVms.contains(ancestor)) {
            requestMillis += REQUEST_TIMEOUT_MILLIS;
            ancestor = parents[ancestor - 1];
        }
        if (ancestor == RelayTopology.LOG_NODE) {
            return requestMillis + logReadMillis(vm);
        }
        return Math.max(requestMillis + linkMillis(vm, ancestor), arrivalMillis(ancestor)) + linkMillis(ancestor, vm);
    }

    /** Returns the delay until a parent sends to a child; a parent serves its children one after another. */
    private double pushDelayMillis(int parent, int child) {
        int position = 0;
        for (int vm = 1; vm <= child; vm++) {
            position += parents[vm - 1] == parent ? 1 : 0;
        }
        return position * PUSH_MILLIS;
    }

    private double linkMillis(int from, int to) {
        int fromDataCentre = dataCentreOf[from];
        int toDataCentre = dataCentreOf[to];
        if (fromDataCentre == toDataCentre) {
            return INTRA_DATA_CENTRE_MILLIS;
        }
        return isFirstRegion(fromDataCentre) == isFirstRegion(toDataCentre) ? INTRA_REGION_MILLIS : INTER_REGION_MILLIS;
    }

    private double logReadMillis(int vm) {
        double oneWayMillis = isFirstRegion(dataCentreOf[vm]) ? INTRA_REGION_MILLIS : INTER_REGION_MILLIS;
        return 2 * oneWayMillis + LOG_SERVICE_MILLIS;
    }

    private static boolean isFirstRegion(int dataCentre) {
        return dataCentre < FIRST_REGION_DATA_CENTRES;
    }

    private static LogEntry configurationEntry() {
        RecordHeader header = new RecordHeader(new WriterId("operator"), 0, "operator", 0);
        LogRecord body = new LogRecord.ConfigurationPublished(
                LogOffset.NONE, new DeploymentSize(DATA_CENTRES, 0, SERVERS / DATA_CENTRES, 16_384).configuration(2));
        return new LogEntry(new LogOffset(100_000), header, body);
    }

    private static byte[] configurationRecord() throws LogRecordCodec.RecordTooLargeException {
        LogEntry entry = configurationEntry();
        return new LogRecordCodec().encode(entry.header(), entry.body());
    }

    private static int frameBytes(PeerMessage message) {
        LogRecordCodec codec = new LogRecordCodec();
        PeerFrameCodec frames = new PeerFrameCodec(new LogEntryCodec() {
            @Override
            public byte[] encode(LogEntry entry) {
                try {
                    return codec.encode(entry.header(), entry.body());
                } catch (LogRecordCodec.RecordTooLargeException e) {
                    throw new IllegalStateException("configuration of " + SERVERS + " servers is too large", e);
                }
            }

            @Override
            public LogEntry decode(LogOffset offset, byte[] data) {
                return codec.decode(offset, data);
            }
        });
        return frames.encode(message).length + Meter.FRAME_LENGTH_BYTES;
    }
}
