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
 * Prints what control costs by the size of a deployment: a line a role in steady state, and a line a
 * change.
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

    private ControlSlopes(DeploymentSize shape) {
        deployment = new MeteredDeployment(shape);
    }

    /** Prints the tables of the shapes given, or of a set that shows the slopes. */
    public static void main(String[] args) {
        Locale.setDefault(Locale.ROOT);
        System.out.println("steady: dataCentres vms servers shards role messagesIn/s messagesOut/s bytesIn/s"
                + " bytesOut/s logReads/s logBytes/s orders/s orderBytes/s cpuPercent allocatedKiB/s");
        System.out.println("change: dataCentres vms servers shards change millisToTakeHold appends appendedBytes"
                + " peerBytesTotal peerBytesPerVm logBytesPerVm");
        for (DeploymentSize shape : args.length == 0 ? DEFAULT_SIZES : parseSizes(args)) {
            new ControlSlopes(shape).measure();
        }
    }

    private static List<DeploymentSize> parseSizes(String[] args) {
        List<DeploymentSize> shapes = new ArrayList<>();
        for (int i = 0; i + ARGUMENTS_PER_SIZE <= args.length; i += ARGUMENTS_PER_SIZE) {
            shapes.add(new DeploymentSize(
                    Integer.parseInt(args[i]),
                    Integer.parseInt(args[i + 1]),
                    Integer.parseInt(args[i + 2]),
                    Integer.parseInt(args[i + 3])));
        }
        return shapes;
    }

    private void measure() {
        runUntil(this::isSettled, SETTLE_LIMIT_MILLIS);
        deployment.queue.runFor(IDLE_MILLIS);
        Meter steady = measureSteadyState();
        int vms = deployment.allVms().size();
        measureChange("server-lost", steady, vms, this::loseServer);
        measureChange("configuration", steady, vms, this::publish);
        measureChange("vm-replaced", steady, vms, this::replaceOrdinaryVm);
        measureChange("leader-replaced", steady, vms, this::replaceLeader);
        measureChange("rack-lost", steady, vms, this::loseRack);
        measureChange("server-lost-until-owned", steady, vms, this::loseServerUntilReassigned);
    }

    /** Returns whether every VM is in its roster and every shard has an owner. */
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
        Meter others = new Meter();
        deployment.allVms().stream().filter(vm -> !vm.leads()).forEach(vm -> others.add(vm.meter));
        int ordinary =
                (int) deployment.allVms().stream().filter(vm -> !vm.leads()).count();
        System.out.println(
                "steady: " + deployment.size + " ordinary " + others.averageRates(STEADY_WINDOW_SECONDS, ordinary));
        System.out.println(
                "steady: " + deployment.size + " leader " + leader.meter.averageRates(STEADY_WINDOW_SECONDS, 1));
        System.out.printf(
                "appends: %s steady %.2f a second%n",
                deployment.size, (deployment.appends - appendsBefore) / STEADY_WINDOW_SECONDS);
        Meter total = new Meter();
        deployment.allVms().forEach(vm -> total.add(vm.meter));
        return total;
    }

    /** Makes a change, waits until it took hold, and prints what it cost beyond the steady state. */
    private void measureChange(String name, Meter steady, int vms, Change change) {
        deployment.allVms().forEach(vm -> vm.meter.reset());
        long appendsBefore = deployment.appends;
        long bytesBefore = deployment.appendedBytes;
        long startMillis = deployment.queue.nowMillis();
        BooleanSupplier done = change.apply();
        runUntil(done, CHANGE_LIMIT_MILLIS);
        long heldMillis = deployment.queue.nowMillis() - startMillis;
        deployment.queue.runFor((long) (AFTER_CHANGE_SECONDS * 1_000));
        Meter total = new Meter();
        deployment.allVms().forEach(vm -> total.add(vm.meter));
        double windows = (deployment.queue.nowMillis() - startMillis) / 1_000.0 / STEADY_WINDOW_SECONDS;
        double peerBytes = total.bytesOut - steady.bytesOut * windows;
        System.out.printf(
                "change: %s %s %d %d %d %.0f %.0f %d%n",
                deployment.size,
                name,
                heldMillis,
                deployment.appends - appendsBefore,
                deployment.appendedBytes - bytesBefore,
                peerBytes,
                peerBytes / vms,
                total.logBytes / vms);
    }

    /** Makes a change and returns how to tell that it took hold. */
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

    /** Loses a part of the first data centre's servers and of its entry VMs at once; the VMs are replaced. */
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

    /** Loses an owner of shards; the change holds when every VM's plan again has an owner for each shard. */
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
                throw new IllegalStateException(
                        "shape " + deployment.size + " did not get there in " + limitMillis + " ms");
            }
            deployment.queue.runFor(STEP_MILLIS);
        }
    }
}
