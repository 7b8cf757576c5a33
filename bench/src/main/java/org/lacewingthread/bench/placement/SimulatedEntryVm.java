package org.lacewingthread.bench.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.lease.EntryVmIdentity;
import org.lacewingthread.core.lease.EntryVmStateMachine;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.ownership.LeaseOwnershipCoordinator;

/** An entry VM that runs the production control core in simulated time, with a clock that runs at its own rate. */
final class SimulatedEntryVm {
    /** Time from the loss of a server until failed connection attempts mark it as unreachable. */
    static final long LOSS_DETECTION_MILLIS = 300;

    private static final long VIEW_DRAIN_MICROS = 5_000;
    private static final int HOTTEST_SHARDS = 8;

    final EntryVmIdentity identity;
    boolean up = true;
    ControlView view;
    private final SimulatedDeployment deployment;
    private final EntryVmStateMachine control;
    private final double clockRate;
    private final Set<ServerId> reportedUnreachable = new TreeSet<>();

    SimulatedEntryVm(SimulatedDeployment deployment, EntryVmIdentity identity, double clockRate) {
        this.deployment = deployment;
        this.identity = identity;
        this.clockRate = clockRate;
        ControlSettings settings = ControlSettings.DEFAULT;
        this.control = new EntryVmStateMachine(
                identity, settings, new LogReplica(), term -> new LeaseOwnershipCoordinator(settings));
    }

    boolean leads() {
        return up
                && view != null
                && view.plan()
                        .filter(p -> p.term().leader().equals(identity.self()))
                        .isPresent();
    }

    void deliver(ControlEvent event) {
        if (up) {
            control.handle(event, localMillis()).forEach(this::execute);
        }
    }

    private long localMillis() {
        return (long) (deployment.queue.nowMicros() * clockRate / 1_000);
    }

    private void execute(ControlAction action) {
        if (action instanceof ControlAction.SendToPeer send) {
            deployment.send(this, send);
        } else if (action instanceof ControlAction.ReadLog read) {
            deployment.readLog(this, read.from());
        } else if (action instanceof ControlAction.Append append) {
            deployment.append(this, append);
        } else if (action instanceof ControlAction.SendToServer order) {
            deployment.sendOrder(this, order.order());
        } else if (action instanceof ControlAction.Publish publish) {
            view = publish.view();
            long number = view.number();
            deployment.queue.scheduleAfter(VIEW_DRAIN_MICROS, () -> deliver(new ControlEvent.ViewDrained(number)));
        }
    }

    /** Reports servers of this VM that became unreachable or reachable again, as request traffic would. */
    void reportServerConditions() {
        forEachDispatchedServer((id, server) -> {
            boolean detectedLost =
                    !server.up && deployment.queue.nowMillis() - server.downSinceMillis >= LOSS_DETECTION_MILLIS;
            if (detectedLost && reportedUnreachable.add(id)) {
                deliver(new ControlEvent.ServerObserved(id, ServerCondition.UNREACHABLE));
            } else if (server.up && reportedUnreachable.remove(id)) {
                deliver(new ControlEvent.ServerObserved(id, ServerCondition.REACHABLE));
            }
        });
    }

    /** Reports the load of the servers that this VM dispatches for. */
    void reportLoad() {
        if (view == null || view.plan().isEmpty()) {
            return;
        }
        Map<ShardId, ServerLoad.ShardLoad> shardLoads = deployment.shardLoads(view.state());
        Map<ServerId, List<ServerLoad.ShardLoad>> shardsByServer = new HashMap<>();
        forEachDispatchedServer((id, server) -> shardsByServer.put(id, new ArrayList<>()));
        view.plan().get().owners().forEach((shard, owner) -> {
            if (shardsByServer.containsKey(owner.server()) && shardLoads.containsKey(shard)) {
                shardsByServer.get(owner.server()).add(shardLoads.get(shard));
            }
        });
        List<ServerLoad> loads = new ArrayList<>();
        shardsByServer.forEach((server, shards) -> loads.add(load(server, shards)));
        loads.sort(Comparator.comparing(ServerLoad::server));
        deliver(new ControlEvent.LoadMeasured(loads));
    }

    private static ServerLoad load(ServerId server, List<ServerLoad.ShardLoad> shards) {
        Comparator<ServerLoad.ShardLoad> hottestFirst = Comparator.comparingDouble(
                        ServerLoad.ShardLoad::requestsPerSecond)
                .reversed()
                .thenComparing(ServerLoad.ShardLoad::shard);
        List<ServerLoad.ShardLoad> hottest =
                shards.stream().sorted(hottestFirst).limit(HOTTEST_SHARDS).toList();
        double totalRequestsPerSecond = shards.stream()
                .mapToDouble(ServerLoad.ShardLoad::requestsPerSecond)
                .sum();
        return new ServerLoad(server, totalRequestsPerSecond, hottest);
    }

    private void forEachDispatchedServer(BiConsumer<ServerId, SimulatedBackendServer> action) {
        if (!up || view == null || view.plan().isEmpty()) {
            return;
        }
        view.plan().get().dispatchers().entrySet().stream()
                .filter(e -> e.getValue().equals(identity.self()))
                .map(Map.Entry::getKey)
                .sorted()
                .forEach(id -> action.accept(id, deployment.servers.get(id)));
    }

    boolean dispatchesFor(ServerId server) {
        return view != null
                && view.plan()
                        .filter(p -> identity.self().equals(p.dispatchers().get(server)))
                        .isPresent();
    }

    int dispatchedServerCount() {
        return (int)
                deployment.servers.keySet().stream().filter(this::dispatchesFor).count();
    }

    /** Calls an action with each shard that this VM can currently serve and the server that owns the shard. */
    void forEachServedShard(BiConsumer<ShardId, ServerId> action) {
        if (!up || view == null || view.plan().isEmpty() || localMillis() >= view.dispatchDeadlineMillis()) {
            return;
        }
        var plan = view.plan().get();
        plan.owners().forEach((shard, owner) -> {
            boolean dispatches = identity.self().equals(plan.dispatchers().get(owner.server()));
            if (dispatches && deployment.servers.get(owner.server()).serves(shard, deployment.queue.nowMillis())) {
                action.accept(shard, owner.server());
            }
        });
    }
}
