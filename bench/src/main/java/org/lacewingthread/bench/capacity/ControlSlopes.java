package org.lacewingthread.bench.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;

/**
 * Prints the cost of control by deployment size: one line for each role in steady state, and one line for each
 * kind of change.
 *
 * <pre>{@code
 * java -cp <jar and dependencies> org.lacewingthread.bench.capacity.ControlSlopes [dataCentres vms servers shards]...
 * }</pre>
 */
public final class ControlSlopes {
    private static final long STEP_MILLIS = 25;
    private static final long SETTLE_LIMIT_MILLIS = 300_000;
    private static final long CHANGE_LIMIT_MILLIS = 60_000;
    private static final long IDLE_MILLIS = 10_000;
    private static final double STEADY_WINDOW_SECONDS = 20;
    private static final double AFTER_CHANGE_SECONDS = 15;
    private static final int ARGUMENTS_PER_SIZE = 4;
    private static final int RACKS_PER_DATA_CENTRE = 4;
    private static final List<DeploymentSize> DEFAULT_SIZES = List.of(
            new DeploymentSize(1, 4, 20, 1_024),
            new DeploymentSize(1, 4, 20, 1_024),
            new DeploymentSize(1, 8, 20, 1_024),
            new DeploymentSize(1, 16, 20, 1_024),
            new DeploymentSize(1, 32, 20, 1_024),
            new DeploymentSize(1, 64, 20, 1_024),
            new DeploymentSize(1, 8, 60, 4_096),
            new DeploymentSize(1, 8, 120, 4_096),
            new DeploymentSize(1, 8, 60, 1_024),
            new DeploymentSize(1, 8, 60, 16_384),
            new DeploymentSize(3, 4, 20, 4_096),
            new DeploymentSize(7, 4, 20, 4_096));

    private final MeteredDeployment deployment;

    private ControlSlopes(DeploymentSize size) {
        deployment = new MeteredDeployment(size);
    }

    /** Prints the tables for the given sizes, or for a default set that shows how the cost grows. */
    public static void main(String[] args) {
        Locale.setDefault(Locale.ROOT);
        System.out.println("steady: dataCentres vms servers shards role messagesIn/s messagesOut/s bytesIn/s"
                + " bytesOut/s logReads/s logBytes/s orders/s orderBytes/s cpuPercent allocatedKiB/s");
        System.out.println("change: dataCentres vms servers shards change millisToTakeHold appends appendedBytes"
                + " peerBytesTotal peerBytesPerVm logBytesPerVm");
        for (DeploymentSize size : args.length == 0 ? DEFAULT_SIZES : parseSizes(args)) {
            new ControlSlopes(size).measure();
        }
    }

    private static List<DeploymentSize> parseSizes(String[] args) {
        List<DeploymentSize> sizes = new ArrayList<>();
        for (int i = 0; i + ARGUMENTS_PER_SIZE <= args.length; i += ARGUMENTS_PER_SIZE) {
            sizes.add(new DeploymentSize(
                    Integer.parseInt(args[i]),
                    Integer.parseInt(args[i + 1]),
                    Integer.parseInt(args[i + 2]),
                    Integer.parseInt(args[i + 3])));
        }
        return sizes;
    }

    private void measure() {
        runUntil(this::isSettled, SETTLE_LIMIT_MILLIS);
        deployment.queue.runFor(IDLE_MILLIS);
        Meter steadyState = measureSteadyState();
        int vms = deployment.allVms().size();
        measureChange("server-lost", steadyState, vms, this::loseServer);
        measureChange("configuration", steadyState, vms, this::publish);
        measureChange("vm-replaced", steadyState, vms, this::replaceOrdinaryVm);
        measureChange("leader-replaced", steadyState, vms, this::replaceLeader);
        measureChange("rack-lost", steadyState, vms, this::loseRack);
        measureChange("server-lost-until-owned", steadyState, vms, this::loseServerUntilReassigned);
    }

    /** Returns whether every running VM is in the roster of its data centre and every shard has an owner. */
    private boolean isSettled() {
        int shards = deployment.size.shards();
        return deployment.vmsByDataCentre.entrySet().stream()
                        .allMatch(e -> isRosterComplete(e.getKey(), e.getValue().size()))
                && deployment.vmsByDataCentre.values().stream()
                                .mapToInt(vms -> vms.get(0).plan().owners().size())
                                .sum()
                        >= shards;
    }

    private boolean isRosterComplete(DataCentreId dataCentre, int size) {
        return deployment.vmsByDataCentre.get(dataCentre).stream()
                .allMatch(vm -> vm.hasPlan()
                        && vm.view.state().dataCentres().containsKey(dataCentre)
                        && vm.view
                                        .state()
                                        .dataCentres()
                                        .get(dataCentre)
                                        .members()
                                        .size()
                                == size
                        && vm.view.state().dataCentres().get(dataCentre).members().stream()
                                .anyMatch(m -> m.start().equals(vm.identity.self())));
    }

    private Meter measureSteadyState() {
        deployment.allVms().forEach(vm -> vm.meter.reset());
        MeteredVm leader = deployment.leader();
        long appendsBefore = deployment.appends;
        deployment.queue.runFor((long) (STEADY_WINDOW_SECONDS * 1_000));
        Meter ordinaryVms = new Meter();
        deployment.allVms().stream().filter(vm -> !vm.leads()).forEach(vm -> ordinaryVms.add(vm.meter));
        int ordinaryCount =
                (int) deployment.allVms().stream().filter(vm -> !vm.leads()).count();
        System.out.println("steady: " + deployment.size + " ordinary "
                + ordinaryVms.averageRates(STEADY_WINDOW_SECONDS, ordinaryCount));
        System.out.println(
                "steady: " + deployment.size + " leader " + leader.meter.averageRates(STEADY_WINDOW_SECONDS, 1));
        System.out.printf(
                "appends: %s steady %.2f a second%n",
                deployment.size, (deployment.appends - appendsBefore) / STEADY_WINDOW_SECONDS);
        Meter total = new Meter();
        deployment.allVms().forEach(vm -> total.add(vm.meter));
        return total;
    }

    /** Applies a change, waits until it has taken effect, and prints its cost in excess of the steady state. */
    private void measureChange(String name, Meter steadyState, int vms, Change change) {
        deployment.allVms().forEach(vm -> vm.meter.reset());
        long appendsBefore = deployment.appends;
        long bytesBefore = deployment.appendedBytes;
        long startMillis = deployment.queue.nowMillis();
        BooleanSupplier takenEffect = change.apply();
        runUntil(takenEffect, CHANGE_LIMIT_MILLIS);
        long effectMillis = deployment.queue.nowMillis() - startMillis;
        deployment.queue.runFor((long) (AFTER_CHANGE_SECONDS * 1_000));
        Meter total = new Meter();
        deployment.allVms().forEach(vm -> total.add(vm.meter));
        double steadyWindows = (deployment.queue.nowMillis() - startMillis) / 1_000.0 / STEADY_WINDOW_SECONDS;
        double peerBytes = total.bytesOut - steadyState.bytesOut * steadyWindows;
        System.out.printf(
                "change: %s %s %d %d %d %.0f %.0f %d%n",
                deployment.size,
                name,
                effectMillis,
                deployment.appends - appendsBefore,
                deployment.appendedBytes - bytesBefore,
                peerBytes,
                peerBytes / vms,
                total.logBytes / vms);
    }

    /** Applies a change and returns the condition that holds once the change has taken effect. */
    private interface Change {
        BooleanSupplier apply();
    }

    private BooleanSupplier loseServer() {
        ServerId server = deployment.leader().plan().dispatchers().keySet().stream()
                .sorted()
                .findFirst()
                .orElseThrow();
        deployment.stopServer(server);
        return () -> deployment.vmsByDataCentre.get(deployment.size.dataCentreId(0)).stream()
                .allMatch(vm -> vm.plan().owners().values().stream()
                        .noneMatch(owner -> owner.server().equals(server)));
    }

    /** Stops a rack's share of the first data centre's servers and entry VMs at the same time, and replaces the VMs. */
    private BooleanSupplier loseRack() {
        DataCentreId dataCentre = deployment.size.dataCentreId(0);
        Set<ServerId> servers = deployment.leader().plan().dispatchers().keySet().stream()
                .sorted()
                .limit(Math.max(1, deployment.size.servers() / RACKS_PER_DATA_CENTRE))
                .collect(Collectors.toSet());
        servers.forEach(deployment::stopServer);
        deployment.vmsByDataCentre.get(dataCentre).stream()
                .filter(vm -> !vm.leads())
                .limit(deployment.size.vms() / RACKS_PER_DATA_CENTRE)
                .toList()
                .forEach(this::replace);
        int size = deployment.vmsByDataCentre.get(dataCentre).size();
        return () -> isRosterComplete(dataCentre, size)
                && deployment.leader().plan().owners().values().stream()
                        .noneMatch(owner -> servers.contains(owner.server()));
    }

    /** Stops a server that owns shards; complete when every VM's plan again has an owner for each of its shards. */
    private BooleanSupplier loseServerUntilReassigned() {
        RoutePlan before = deployment.leader().plan();
        ServerId server = before.owners().values().stream()
                .map(RoutePlan.Ownership::server)
                .max(Comparator.naturalOrder())
                .orElseThrow();
        int owned = before.owners().size();
        deployment.stopServer(server);
        return () -> deployment.vmsByDataCentre.get(deployment.size.dataCentreId(0)).stream()
                .map(MeteredVm::plan)
                .allMatch(plan -> plan.owners().size() >= owned
                        && plan.owners().values().stream()
                                .noneMatch(owner -> owner.server().equals(server)));
    }

    private BooleanSupplier publish() {
        deployment.publish(3);
        return () -> deployment.allVms().stream()
                .allMatch(vm -> vm.view.state().configurationRevision().equals(deployment.configurationOffset()));
    }

    private BooleanSupplier replaceOrdinaryVm() {
        DataCentreId first = deployment.size.dataCentreId(0);
        return replace(deployment.vmsByDataCentre.get(first).stream()
                .filter(vm -> !vm.leads())
                .findFirst()
                .orElseThrow());
    }

    private BooleanSupplier replaceLeader() {
        return replace(deployment.leader());
    }

    private BooleanSupplier replace(MeteredVm vm) {
        DataCentreId dataCentre = vm.identity.dataCentre();
        deployment.stopVm(vm);
        deployment.startVm(
                dataCentre, deployment.size.vms() + (int) vm.identity.self().startNumber() % 1_000);
        int size = deployment.vmsByDataCentre.get(dataCentre).size();
        return () -> isRosterComplete(dataCentre, size);
    }

    private void runUntil(BooleanSupplier condition, long limitMillis) {
        long endMillis = deployment.queue.nowMillis() + limitMillis;
        while (!condition.getAsBoolean()) {
            if (deployment.queue.nowMillis() >= endMillis) {
                throw new IllegalStateException("deployment of size " + deployment.size
                        + " did not reach the expected state within " + limitMillis + " ms");
            }
            deployment.queue.runFor(STEP_MILLIS);
        }
    }
}
