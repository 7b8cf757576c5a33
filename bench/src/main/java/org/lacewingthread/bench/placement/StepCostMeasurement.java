package org.lacewingthread.bench.placement;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.config.RequestSelector;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.ownership.DispatcherStatus;
import org.lacewingthread.core.ownership.LeaseOwnershipCoordinator;
import org.lacewingthread.core.ownership.OwnershipActions;
import org.lacewingthread.core.ownership.OwnershipInputs;

/**
 * Prints a Markdown table of the cost of one leader's ownership decisions by the number of shards and servers in
 * its data centre: CPU time and allocated bytes per idle step, and in total for the initial assignment of all shards
 * and for the loss of one server. Half of the servers check fencing tokens.
 *
 * <pre>{@code
 * java -cp bench/target/classes:core/target/classes:zero-allocation-hashing-0.16.jar \
 *     org.lacewingthread.bench.placement.StepCostMeasurement
 * }</pre>
 */
public final class StepCostMeasurement {
    private static final int[] SHARDS = {1_024, 4_096, 16_384, 65_536};
    private static final int[] SERVERS = {20, 100, 300};
    private static final int VMS = 12;
    private static final int WARM_UP_RUNS = 3;
    private static final int IDLE_STEPS = 2_000;
    private static final long STEP_MILLIS = 20;
    private static final long TIMEOUT_MILLIS = 120_000;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_KILOBYTE = 1e3;
    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final DataCentreId DATA_CENTRE = new DataCentreId("maras");
    private static final VmStart LEADER = new VmStart(new VmId("vm-0"), 1);
    private static final ThreadMXBean THREAD_MX_BEAN = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private final LogReplica replica = new LogReplica();
    private final Map<ServerId, ServerCondition> conditions = new HashMap<>();
    private final Term term;
    private final LeaseOwnershipCoordinator coordinator = new LeaseOwnershipCoordinator(ControlSettings.DEFAULT);
    private final List<VmStart> members = new ArrayList<>();
    private Optional<RoutePlan> plan = Optional.empty();
    private long nowMillis = 1_000;
    private long sequence;
    private long recordCount;

    private record Cost(long processorNanos, long allocatedBytes, long steps) {}

    private StepCostMeasurement(int shards, int servers) {
        for (int i = 0; i < VMS; i++) {
            members.add(new VmStart(new VmId("vm-" + i), 1));
        }
        append(new LogRecord.ConfigurationPublished(LogOffset.NONE, configuration(shards, servers)));
        RosterMember member = new RosterMember(LEADER, "127.0.0.1", 7_000);
        append(new LogRecord.RosterChanged(DATA_CENTRE, LogOffset.NONE, List.of(member)));
        append(new LogRecord.LeaderClaimed(DATA_CENTRE, LogOffset.NONE, LEADER));
        term = new Term(replica.state().appliedOffset(), 0, LEADER);
    }

    /** Measures every combination of shard and server count and prints the table. */
    public static void main(String[] args) {
        for (int i = 0; i < WARM_UP_RUNS; i++) {
            measureRow(SHARDS[1], SERVERS[0]);
        }
        System.out.println("| shards | servers | idle step: us / KB | first assignment: ms / MB / records"
                + " | server loss: ms / MB / records | owners in the plan |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (int shards : SHARDS) {
            for (int servers : SERVERS) {
                System.out.println(measureRow(shards, servers));
            }
        }
    }

    private static String measureRow(int shards, int servers) {
        StepCostMeasurement measurement = new StepCostMeasurement(shards, servers);
        Cost initial = measurement.runUntilAllOwned(shards);
        long firstRecords = measurement.takeRecordCount();
        measurement.runSteps(IDLE_STEPS / 2);
        Cost idle = measurement.runSteps(IDLE_STEPS);
        ServerId lost = new ServerId("server-0");
        measurement.takeRecordCount();
        measurement.conditions.put(lost, ServerCondition.UNREACHABLE);
        Cost loss = measurement.runUntilMoved(shards, lost);
        return String.format(
                Locale.ROOT,
                "| %,d | %d | %.1f / %.1f | %.0f / %.0f / %d | %.1f / %.1f / %d | %,d |",
                shards,
                servers,
                idle.processorNanos() / NANOS_PER_MICRO / idle.steps(),
                idle.allocatedBytes() / BYTES_PER_KILOBYTE / idle.steps(),
                initial.processorNanos() / NANOS_PER_MILLI,
                initial.allocatedBytes() / BYTES_PER_MEGABYTE,
                firstRecords,
                loss.processorNanos() / NANOS_PER_MILLI,
                loss.allocatedBytes() / BYTES_PER_MEGABYTE,
                measurement.takeRecordCount(),
                measurement.plan.orElseThrow().owners().size());
    }

    private static RoutingConfiguration configuration(int shards, int servers) {
        KeySource key = new KeySource(KeySource.Kind.PATH_SEGMENT, "1");
        RequestSelector selector = new RequestSelector("all", List.of(), "/ledger", RequestClass.LOOKUP, key);
        ApplicationSpec application = new ApplicationSpec(
                new ApplicationId("ledger"), shards, PlacementProfile.MINIMISE_CHURN, List.of(), List.of(selector));
        List<ServerSpec> specs = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            ServerId id = new ServerId("server-" + i);
            specs.add(new ServerSpec(id, DATA_CENTRE, "127.0.0.1", 8_000 + i, List.of(), 2, 50, i % 2 == 0, false));
        }
        return new RoutingConfiguration(List.of(application), specs);
    }

    private void append(LogRecord record) {
        RecordHeader header = new RecordHeader(new WriterId("vm-0"), sequence++, "vm-0", 0);
        replica.apply(new LogEntry(replica.nextOffset(), header, record));
    }

    private long takeRecordCount() {
        long count = recordCount;
        recordCount = 0;
        return count;
    }

    private Cost runSteps(long steps) {
        Cost total = new Cost(0, 0, 0);
        for (long i = 0; i < steps; i++) {
            total = add(total, step());
        }
        return total;
    }

    private Cost runUntilAllOwned(int shards) {
        Cost total = new Cost(0, 0, 0);
        long deadlineMillis = nowMillis + TIMEOUT_MILLIS;
        while (plan.map(p -> p.owners().size()).orElse(0) < shards) {
            requireBefore(deadlineMillis);
            total = add(total, step());
        }
        return total;
    }

    private Cost runUntilMoved(int shards, ServerId lost) {
        Cost total = runSteps(1);
        long deadlineMillis = nowMillis + TIMEOUT_MILLIS;
        while (plan.orElseThrow().owners().size() < shards || ownsAnyShard(lost)) {
            requireBefore(deadlineMillis);
            total = add(total, step());
        }
        return total;
    }

    private void requireBefore(long deadlineMillis) {
        if (nowMillis > deadlineMillis) {
            throw new IllegalStateException("some shards still had no owner after " + TIMEOUT_MILLIS + " ms");
        }
    }

    private boolean ownsAnyShard(ServerId server) {
        return plan.orElseThrow().owners().values().stream()
                .anyMatch(o -> o.server().equals(server));
    }

    private static Cost add(Cost total, Cost cost) {
        return new Cost(
                total.processorNanos() + cost.processorNanos(),
                total.allocatedBytes() + cost.allocatedBytes(),
                total.steps() + 1);
    }

    /** Runs one step. The cost covers the coordinator only, not the simulated log and servers. */
    private Cost step() {
        nowMillis += STEP_MILLIS;
        OwnershipInputs inputs = inputs();
        long thread = Thread.currentThread().getId();
        long bytes = THREAD_MX_BEAN.getThreadAllocatedBytes(thread);
        long nanos = THREAD_MX_BEAN.getCurrentThreadCpuTime();
        OwnershipActions step = coordinator.step(inputs, nowMillis);
        Cost cost = new Cost(
                THREAD_MX_BEAN.getCurrentThreadCpuTime() - nanos,
                THREAD_MX_BEAN.getThreadAllocatedBytes(thread) - bytes,
                1);
        plan = step.plan().or(() -> plan);
        recordCount += step.records().size();
        step.records().forEach(this::append);
        for (ServerOrder order : step.orders()) {
            coordinator.orderAnswered(order.server(), order.sequence(), true, nowMillis);
        }
        return cost;
    }

    private OwnershipInputs inputs() {
        DispatcherStatus ledger = new DispatcherStatus() {
            @Override
            public boolean isLive(VmStart vm, long now) {
                return true;
            }

            @Override
            public boolean hasStoppedUsingPlansBefore(VmStart vm, long planVersion, long now) {
                return plan.filter(p -> p.version() >= planVersion).isPresent();
            }
        };
        return new OwnershipInputs(
                DATA_CENTRE,
                LEADER,
                term,
                replica.state(),
                true,
                members,
                ledger,
                0,
                Map.of(),
                true,
                conditions,
                Map.of());
    }
}
