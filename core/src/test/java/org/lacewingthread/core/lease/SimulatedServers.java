package org.lacewingthread.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.Label;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.ownership.LeaseOwnershipCoordinator;

/** Backend servers of a simulated group whose ownership is decided by {@link LeaseOwnershipCoordinator}. */
final class SimulatedServers {
    static final int SHARDS = 16;
    private static final ApplicationId LEDGER = new ApplicationId("ledger");
    private static final long DETECTION_MICROS = 150_000;

    final Map<ServerId, SimulatedServer> servers = new TreeMap<>();
    private final SimulatedGroup group;
    /** Ratio of orders that are sent just before their deadline, as by a process that stood still for that long. */
    double lateOrderRatio;

    private boolean requireRecorded;

    /** Publishes one application and the given number of servers, of which every second one checks tokens. */
    SimulatedServers(SimulatedGroup group, int count) {
        this.group = group;
        group.coordinatorFactory = term -> new LeaseOwnershipCoordinator(group.settings);
        List<ServerSpec> specs = new ArrayList<>();
        List<Label> labels = List.of(new Label("app", "ledger"));
        for (int i = 0; i < count; i++) {
            ServerId id = new ServerId("server-" + i);
            ServerSpec spec = new ServerSpec(
                    id, SimulatedGroup.MARAS, "10.0.0." + (i + 1), 8_000, labels, 2, 50, i % 2 == 0, false);
            specs.add(spec);
            double rate = 0.99 + 0.02 * group.random.nextDouble();
            servers.put(id, new SimulatedServer(group, spec, rate));
        }
        ApplicationSpec ledger =
                new ApplicationSpec(LEDGER, SHARDS, PlacementProfile.MINIMISE_UNAVAILABLE, labels, List.of());
        group.log.append(
                new RecordHeader(new WriterId("operator"), 0, "operator", 0),
                new LogRecord.ConfigurationPublished(LogOffset.NONE, new RoutingConfiguration(List.of(ledger), specs)));
    }

    void sendOrder(SimulatedVm vm, ControlAction.SendToServer send) {
        long leftMillis = send.deadlineMillis() - vm.localMillis();
        if (leftMillis < 0) {
            return;
        }
        if (lateOrderRatio > 0 && group.random.nextDouble() < lateOrderRatio) {
            group.schedule(1_000 * Math.max(0, leftMillis - 1), () -> deliverOrder(vm, send));
        } else {
            deliverOrder(vm, send);
        }
    }

    private void deliverOrder(SimulatedVm vm, ControlAction.SendToServer send) {
        if (vm.stopped) {
            return;
        }
        SimulatedServer server = servers.get(send.order().server());
        long sequence = send.order().sequence();
        boolean lost = group.random.nextDouble() < group.lossRatio;
        group.schedule(500 + group.random.nextInt(3_000), () -> {
            if (server.down) {
                vm.deliver(new ControlEvent.ServerOrderFailed(server.spec.id(), sequence));
                return;
            }
            boolean accepted = server.handleOrder(send.order());
            checkLeaseHolders();
            ControlEvent answer = lost
                    ? new ControlEvent.ServerOrderFailed(server.spec.id(), sequence)
                    : new ControlEvent.ServerOrderAnswered(server.spec.id(), sequence, accepted);
            group.schedule(500 + group.random.nextInt(3_000), () -> vm.deliver(answer));
        });
    }

    private void checkLeaseHolders() {
        for (int i = 0; i < SHARDS; i++) {
            ShardId shard = new ShardId(LEDGER, i);
            List<ServerId> holders = servers.values().stream()
                    .filter(s -> s.holds(shard))
                    .map(s -> s.spec.id())
                    .toList();
            if (holders.size() > 1) {
                group.checks.addViolation("shard " + shard + " is leased to " + holders);
            }
        }
    }

    /** Stops or restarts a server. Dispatchers detect this after 150 ms. */
    void setDown(SimulatedServer server, boolean down) {
        server.down = down;
        group.schedule(DETECTION_MICROS, () -> report(server));
    }

    /** Makes the dispatchers of a server report its condition. */
    void report(SimulatedServer server) {
        ServerCondition condition = server.down ? ServerCondition.UNREACHABLE : ServerCondition.REACHABLE;
        group.running().stream()
                .filter(v -> v.dispatchesFor(server.spec.id()))
                .forEach(v -> v.deliver(new ControlEvent.ServerObserved(server.spec.id(), condition)));
    }

    /** Returns whether every shard is served under its newest recorded assignment. */
    boolean areAllServedAsRecorded() {
        requireRecorded = true;
        boolean served = areAllServed();
        requireRecorded = false;
        return served;
    }

    /** Returns whether the owner of a shard would execute a request now. */
    boolean isServed(int index) {
        ShardId shard = new ShardId(LEDGER, index);
        return group.running().stream().anyMatch(vm -> isServedBy(vm, shard));
    }

    private boolean isServedBy(SimulatedVm vm, ShardId shard) {
        Optional<RoutePlan.Ownership> owner = vm.permittedPlan().flatMap(p -> p.ownerOf(shard));
        if (owner.isEmpty() || vm.isPaused() || !vm.dispatchesFor(owner.get().server())) {
            return false;
        }
        SimulatedServer server = servers.get(owner.get().server());
        if (requireRecorded && !group.checks.isRecorded(shard, owner.get())) {
            return false;
        }
        return !server.down && (!server.spec.checksTokens() || server.holds(shard));
    }

    boolean areAllServed() {
        for (int i = 0; i < SHARDS; i++) {
            if (!isServed(i)) {
                return false;
            }
        }
        return true;
    }
}
