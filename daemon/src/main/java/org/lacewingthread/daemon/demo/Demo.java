package org.lacewingthread.daemon.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.daemon.entry.EntryVm;
import org.lacewingthread.daemon.operator.VmStatus;
import org.lacewingthread.daemon.operator.publish.PublishException;
import org.lacewingthread.daemon.operator.publish.PublisherClock;
import org.lacewingthread.daemon.operator.publish.RecordPublisher;

/**
 * Runs a small system in one process, stops parts of it, and checks the answers that callers got against
 * the runs that backend servers recorded.
 *
 * <pre>{@code
 * boolean held = new Demo(System.out).run();
 * }</pre>
 */
public final class Demo {
    private static final List<String> DATA_CENTRES = List.of("maras", "calca");
    private static final int VMS_PER_DATA_CENTRE = 3;
    private static final int SERVERS_PER_DATA_CENTRE = 4;
    private static final long CONDITION_TIMEOUT_MILLIS = 30_000;
    private static final long PUBLISH_TIMEOUT_MILLIS = 10_000;
    private static final long PHASE_MILLIS = 4_000;
    private static final long POLL_MILLIS = 50;

    /** Lets requests finish that other data centres relayed through the leaving entry VM. */
    private static final long STOP_GRACE_MILLIS = 1_000;

    private final PrintStream out;
    private DemoCluster cluster;
    private DemoCallers callers;
    private RecordPublisher publisher;

    /** Creates a demo that prints its progress and result to a stream. */
    public Demo(PrintStream out) {
        this.out = out;
    }

    /** The disturbance at the start of a phase. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException, PublishException, InterruptedException;
    }

    /**
     * Runs the demo.
     *
     * @return whether every guarantee held
     */
    public boolean run() throws IOException, PublishException, InterruptedException {
        out.printf(
                "starting %d data centres, each with %d entry VMs and %d backend servers%n",
                DATA_CENTRES.size(), VMS_PER_DATA_CENTRE, SERVERS_PER_DATA_CENTRE);
        try (DemoCluster started = DemoCluster.start(DATA_CENTRES, VMS_PER_DATA_CENTRE, SERVERS_PER_DATA_CENTRE);
                DemoCallers demoCallers = new DemoCallers(started);
                DemoOperator operator = new DemoOperator(started)) {
            cluster = started;
            callers = demoCallers;
            publisher = operator.publisher();
            return runPhases();
        }
    }

    private boolean runPhases() throws IOException, PublishException, InterruptedException {
        RoutingConfiguration configuration = DemoConfiguration.of(cluster.serverSpecs());
        LogOffset revision = publish(new LogRecord.ConfigurationPublished(LogOffset.NONE, configuration));
        awaitOrFail("an owner for every shard", this::allShardsServed);
        callers.start();
        long fromMillis = DemoCallers.nowMillis();
        runPhase("undisturbed", () -> {});
        runPhase("backend server maras-server-1 is lost", () -> cluster.stopServer("maras-server-1"));
        runPhase("entry VM calca-1 is lost", () -> cluster.stopVm("calca-1"));
        String leader = leaderOf("maras");
        runPhase("entry VM " + leader + ", the leader, hands over and leaves", () -> leaveAndStop(leader));
        runPhase("backend server calca-server-2 is drained", this::drainServer);
        runPhase("backend server maras-server-2 loses its labels", () -> unlabelServer(revision));
        long toMillis = DemoCallers.nowMillis();
        callers.stop();
        return printSummary(fromMillis, toMillis);
    }

    private String leaderOf(String dataCentre) {
        return cluster.vms().values().stream()
                .map(EntryVm::status)
                .filter(status -> status.dataCentre().equals(dataCentre))
                .map(VmStatus::leader)
                .findFirst()
                .orElseThrow();
    }

    private void leaveAndStop(String vm) throws IOException, InterruptedException {
        cluster.leave(vm);
        awaitOrFail("entry VM \"" + vm + "\" to leave", () -> cluster.hasLeft(vm));
        TimeUnit.MILLISECONDS.sleep(STOP_GRACE_MILLIS);
        cluster.stopLeavingVm(vm);
    }

    private void drainServer() throws PublishException, InterruptedException {
        publish(new LogRecord.ServerDrainSet(new ServerId("calca-server-2"), true));
    }

    private void unlabelServer(LogOffset base) throws PublishException, InterruptedException {
        RoutingConfiguration configuration = DemoConfiguration.withoutLabelsOf(cluster.serverSpecs(), "maras-server-2");
        publish(new LogRecord.ConfigurationPublished(base, configuration));
    }

    private LogOffset publish(LogRecord record) throws PublishException, InterruptedException {
        return publisher.publish(record, PublisherClock.SYSTEM.monotonicMillis() + PUBLISH_TIMEOUT_MILLIS);
    }

    private void runPhase(String name, Step step) throws IOException, PublishException, InterruptedException {
        out.println(name);
        long fromMillis = DemoCallers.nowMillis();
        step.run();
        TimeUnit.MILLISECONDS.sleep(PHASE_MILLIS);
        new DemoReport(callers.attempts(), cluster.runs()).printPhase(out, fromMillis, DemoCallers.nowMillis());
    }

    private boolean printSummary(long fromMillis, long toMillis) {
        DemoReport report = new DemoReport(callers.attempts(), cluster.runs());
        out.println("account");
        out.printf("    requests sent                %d%n", callers.attempts().size());
        out.printf("    runs at backend servers      %d%n", cluster.runs().size());
        out.printf("    shards that changed owner    %d%n", report.movedShardCount());
        List<String> violations = report.violations(fromMillis, toMillis);
        violations.forEach(violation -> out.println("    BROKEN: " + violation));
        out.println(violations.isEmpty() ? "every promise held" : violations.size() + " promises were broken");
        return violations.isEmpty();
    }

    private void awaitOrFail(String what, BooleanSupplier condition) throws IOException, InterruptedException {
        long deadlineMillis = DemoCallers.nowMillis() + CONDITION_TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            if (DemoCallers.nowMillis() > deadlineMillis) {
                throw new IOException("timed out after " + CONDITION_TIMEOUT_MILLIS + " ms, waiting for " + what);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private boolean allShardsServed() {
        long served = DATA_CENTRES.stream()
                .mapToLong(dataCentre -> cluster.vms().values().stream()
                        .map(vm -> vm.status())
                        .filter(status -> status.dataCentre().equals(dataCentre))
                        .mapToLong(Demo::shardCount)
                        .min()
                        .orElse(0))
                .sum();
        return served == DemoConfiguration.SHARD_COUNT;
    }

    private static long shardCount(VmStatus status) {
        return status.servers().values().stream()
                .mapToLong(VmStatus.ServerStatus::shards)
                .sum();
    }
}
