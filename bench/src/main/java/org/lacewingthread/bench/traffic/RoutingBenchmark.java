package org.lacewingthread.bench.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.routing.KeyHash;
import org.lacewingthread.core.routing.RoutingTable;
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

/** Measures the time and allocated bytes of route lookups and of compiling the routing table. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RoutingBenchmark {
    private static final int SERVERS = 300;
    private static final int KEYS = 4_096;

    /** Number of shards of the application. */
    @Param({"1024", "16384"})
    public int shards;

    private ControlView view;
    private RoutingTable table;
    private long[] keyHashes;
    private ShardId[] shardIds;
    private int next;

    /** Compiles the routing table and prepares the keys and shards to look up. */
    @Setup
    public void prepare() {
        List<ServerSpec> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(BenchmarkViews.serverSpec("s" + i, 1 + i, 2));
        }
        view = BenchmarkViews.view(servers, shards);
        table = RoutingTable.compile(view, RoutingTable.EMPTY);
        keyHashes = new long[KEYS];
        shardIds = new ShardId[KEYS];
        for (int i = 0; i < KEYS; i++) {
            keyHashes[i] = KeyHash.of("rug-" + i);
            shardIds[i] = new ShardId(BenchmarkViews.APPLICATION, i % shards);
        }
    }

    /** Looks up the route of a key hash. */
    @Benchmark
    public RoutingTable.Route routeOfKeyHash() {
        return table.routeOf(BenchmarkViews.APPLICATION, keyHashes[next++ & (KEYS - 1)]);
    }

    /** Looks up the route of a shard. */
    @Benchmark
    public RoutingTable.Route routeOfShard() {
        return table.routeOf(shardIds[next++ & (KEYS - 1)]);
    }

    /** Compiles the routing table without reusing an earlier one. */
    @Benchmark
    public RoutingTable compile() {
        return RoutingTable.compile(view, RoutingTable.EMPTY);
    }

    /** Runs the benchmarks with the allocation profiler and prints the results. */
    public static void main(String[] args) throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(RoutingBenchmark.class.getSimpleName())
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
    }
}
