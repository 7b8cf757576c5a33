package org.lacewingthread.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.log.ShardTable;
import org.lacewingthread.daemon.platform.LogRecordCodec;

/**
 * Prints the encoded size of snapshots and the time to encode and decode them, by the number of shards, servers
 * and data centres.
 */
public final class SnapshotSize {
    private static final int MAX_RECORD_BYTES = 64 << 20;
    private static final int FAILOVER_SERVERS = 3;
    private static final int PLAN_VERSIONS = 50;
    private static final int ROUNDS = 20;
    private static final long SEED = 1;
    private static final RecordHeader HEADER = new RecordHeader(new WriterId("bench"), 0, "bench", 0);

    private SnapshotSize() {}

    /** Measures all sizes and prints the table. */
    public static void main(String[] args) throws LogRecordCodec.RecordTooLargeException {
        System.out.println("shards servers dataCentres bytes encodeMicros decodeMicros");
        measure(1_024, 20, 4);
        measure(4_096, 20, 4);
        measure(16_384, 20, 4);
        measure(16_384, 35, 4);
        measure(16_384, 300, 7);
        measure(65_536, 300, 7);
    }

    private static void measure(int shards, int servers, int dataCentres)
            throws LogRecordCodec.RecordTooLargeException {
        LogRecordCodec codec = new LogRecordCodec(MAX_RECORD_BYTES);
        LogRecord snapshot = new LogRecord.SnapshotTaken(state(shards, servers, dataCentres));
        byte[] bytes = codec.encode(HEADER, snapshot);
        long encodeNanos = Long.MAX_VALUE;
        long decodeNanos = Long.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            long startNanos = System.nanoTime();
            byte[] encoded = codec.encode(HEADER, snapshot);
            long encodedNanos = System.nanoTime();
            if (!codec.decode(new LogOffset(0), encoded).body().equals(snapshot)) {
                throw new IllegalStateException(
                        "snapshot of " + shards + " shards differs after encoding and decoding");
            }
            encodeNanos = Math.min(encodeNanos, encodedNanos - startNanos);
            decodeNanos = Math.min(decodeNanos, System.nanoTime() - encodedNanos);
        }
        System.out.printf(
                "%d %d %d %d %d %d%n",
                shards,
                servers,
                dataCentres,
                bytes.length,
                TimeUnit.NANOSECONDS.toMicros(encodeNanos),
                TimeUnit.NANOSECONDS.toMicros(decodeNanos));
    }

    private static ReplicaState state(int shards, int serverCount, int dataCentreCount) {
        List<ServerSpec> servers = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            DataCentreId dataCentre = new DataCentreId("dc-" + i % dataCentreCount);
            ServerId id = new ServerId(dataCentre + "-s" + i);
            servers.add(new ServerSpec(id, dataCentre, "10.0.0.1", 8_000 + i, List.of(), 2, 50, true, false));
        }
        ApplicationId application = new ApplicationId("ledger");
        LogOffset offset = new LogOffset(100_000);
        return new ReplicaState(
                offset,
                offset,
                new RoutingConfiguration(List.of(), servers),
                Map.of(),
                Map.of(application, table(application, shards, servers)),
                Set.of(),
                Set.of(),
                Map.of(),
                Map.of());
    }

    private static ShardTable table(ApplicationId application, int shards, List<ServerSpec> servers) {
        Random random = new Random(SEED);
        Map<DataCentreId, List<ServerId>> byDataCentre = new HashMap<>();
        servers.forEach(server -> byDataCentre
                .computeIfAbsent(server.dataCentre(), key -> new ArrayList<>())
                .add(server.id()));
        List<ShardTable.Entry> entries = new ArrayList<>();
        for (int index = 0; index < shards; index++) {
            DataCentreId home = servers.get(random.nextInt(servers.size())).dataCentre();
            List<ServerId> candidates = new ArrayList<>(byDataCentre.get(home));
            Collections.shuffle(candidates, random);
            Term term = new Term(new LogOffset(90_000), 0, new VmStart(new VmId(home + "-1"), 123_456_789));
            FencingToken token = new FencingToken(term, random.nextInt(PLAN_VERSIONS));
            List<ServerId> failover = candidates.subList(1, Math.min(candidates.size(), FAILOVER_SERVERS + 1));
            entries.add(new ShardTable.Entry(
                    home,
                    null,
                    new ShardAssignment(new ShardId(application, index), candidates.get(0), failover, token)));
        }
        return new ShardTable(shards, entries, Map.of());
    }
}
