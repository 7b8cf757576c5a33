package org.lacewingthread.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.Label;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.config.RequestSelector;
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
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.log.ShardTable;
import org.lacewingthread.core.routing.Classification;
import org.lacewingthread.core.routing.KeyHash;
import org.lacewingthread.core.routing.RequestClassifier;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Measures the time and allocated bytes of applying one log record and of routing a request, by the number of shards
 * and of known writers, with 300 servers.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ReplicaBenchmark {
    private static final int SERVERS = 300;
    private static final int KEYS = 4096;
    private static final ApplicationId APPLICATION = new ApplicationId("ledger");
    private static final DataCentreId DATA_CENTRE = new DataCentreId("maras");
    private static final VmStart LEADER = new VmStart(new VmId("maras-1"), 1);
    private static final Term TERM = new Term(new LogOffset(2), 0, LEADER);

    /** Number of shards of the application. */
    @Param({"1024", "16384", "65536"})
    public int shards;

    /** Number of writers known to the state before the measured record. */
    @Param({"1", "512"})
    public int writers;

    private ReplicaState state;
    private LogReplica replica;
    private RequestClassifier classifier;
    private long[] keyHashes;
    private String[] paths;
    private long sequence;
    private int next;

    /** Applies a log in which every shard is assigned and every writer has written. */
    @Setup
    public void prepare() {
        replica = new LogReplica();
        append(0, new LogRecord.ConfigurationPublished(LogOffset.NONE, configuration()));
        append(
                0,
                new LogRecord.RosterChanged(
                        DATA_CENTRE, LogOffset.NONE, List.of(new RosterMember(LEADER, "10.0.0.1", 1))));
        append(0, new LogRecord.LeaderClaimed(DATA_CENTRE, LogOffset.NONE, LEADER));
        List<ShardAssignment> all = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            all.add(assignment(i, 1));
        }
        append(0, new LogRecord.AssignmentsRecorded(DATA_CENTRE, TERM, all));
        for (int i = 1; i < writers; i++) {
            append(i, new LogRecord.ServerDrainSet(new ServerId("s0"), false));
        }
        state = replica.state();
        classifier = RequestClassifier.compile(state.configuration());
        prepareKeys();
    }

    private void prepareKeys() {
        keyHashes = new long[KEYS];
        paths = new String[KEYS];
        for (int i = 0; i < KEYS; i++) {
            paths[i] = "/rugs/rug-" + i;
            keyHashes[i] = KeyHash.of("rug-" + i);
        }
    }

    private void append(int writer, LogRecord body) {
        RecordHeader header = new RecordHeader(new WriterId("writer-" + writer), sequence++, "bench", 0);
        if (!replica.apply(new LogEntry(replica.nextOffset(), header, body)).isAccepted()) {
            throw new IllegalStateException("record " + body + " was rejected");
        }
    }

    private RoutingConfiguration configuration() {
        KeySource key = new KeySource(KeySource.Kind.PATH_SEGMENT, "1");
        RequestSelector selector = new RequestSelector("rugs", List.of("GET"), "/rugs", RequestClass.LOOKUP, key);
        ApplicationSpec application =
                new ApplicationSpec(APPLICATION, shards, PlacementProfile.MINIMISE_CHURN, List.of(), List.of(selector));
        List<ServerSpec> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerSpec(
                    new ServerId("s" + i),
                    DATA_CENTRE,
                    "10.0.0.1",
                    1 + i,
                    List.of(new Label("app", "ledger")),
                    2,
                    130,
                    false,
                    false));
        }
        return new RoutingConfiguration(List.of(application), servers);
    }

    private ShardAssignment assignment(int index, long plan) {
        List<ServerId> failover = List.of(server(index + 1), server(index + 2));
        return new ShardAssignment(
                new ShardId(APPLICATION, index), server(index), failover, new FencingToken(TERM, plan));
    }

    private static ServerId server(int index) {
        return new ServerId("s" + index % SERVERS);
    }

    /** Applies a record with one assignment. */
    @Benchmark
    public ReplicaState foldOneAssignment() {
        LogReplica fresh = new LogReplica(state);
        RecordHeader header = new RecordHeader(new WriterId("writer-0"), sequence, "bench", 0);
        LogRecord body =
                new LogRecord.AssignmentsRecorded(DATA_CENTRE, TERM, List.of(assignment(next++ & (shards - 1), 2)));
        fresh.apply(new LogEntry(fresh.nextOffset(), header, body));
        return fresh.state();
    }

    /** Looks up the shard table entry of a key hash. */
    @Benchmark
    public ShardTable.Entry routeKeyHash() {
        ShardTable table = state.shardTable(APPLICATION);
        return table.entry(table.indexOf(keyHashes[next++ & (KEYS - 1)]));
    }

    /** Classifies a request and looks up the shard table entry of its key. */
    @Benchmark
    public ShardTable.Entry classifyAndRoute() {
        Classification found = classifier.classify("GET", paths[next++ & (KEYS - 1)], "", name -> null, null);
        ShardTable table = state.shardTable(APPLICATION);
        return table.entry(table.indexOf(((Classification.Matched) found).keyHash()));
    }

    /** Runs the benchmarks with the allocation profiler and prints the results. */
    public static void main(String[] args) throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(ReplicaBenchmark.class.getSimpleName())
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
    }
}
