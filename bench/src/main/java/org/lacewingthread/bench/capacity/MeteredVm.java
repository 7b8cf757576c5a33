package org.lacewingthread.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.lease.EntryVmIdentity;
import org.lacewingthread.core.lease.EntryVmStateMachine;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.ownership.LeaseOwnershipCoordinator;

/** An entry VM that runs the production control core in simulated time and counts the resources it uses. */
final class MeteredVm {
    private static final int HOTTEST_SHARDS = 8;
    private static final double REQUESTS_PER_SECOND_PER_SHARD = 10;

    final EntryVmIdentity identity;
    final Meter meter = new Meter();
    boolean up = true;
    ControlView view;
    private final MeteredDeployment deployment;
    private final EntryVmStateMachine control;
    private final Set<ServerId> reportedUnreachable = new TreeSet<>();

    MeteredVm(MeteredDeployment deployment, EntryVmIdentity identity) {
        this.deployment = deployment;
        this.identity = identity;
        ControlSettings settings = ControlSettings.DEFAULT;
        control = new EntryVmStateMachine(
                identity, settings, new LogReplica(), term -> new LeaseOwnershipCoordinator(settings));
    }

    boolean leads() {
        return up && hasPlan() && plan().term().leader().equals(identity.self());
    }

    boolean hasPlan() {
        return view != null && view.plan().isPresent();
    }

    RoutePlan plan() {
        return view.plan().orElseThrow();
    }

    void deliver(ControlEvent event) {
        if (!up) {
            return;
        }
        List<ControlAction> actions = new ArrayList<>();
        meter.measure(() -> actions.addAll(control.handle(event, deployment.queue.nowMillis())));
        actions.forEach(this::execute);
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
            deployment.queue.scheduleAfter(
                    MeteredDeployment.VIEW_DRAIN_MICROS, () -> deliver(new ControlEvent.ViewDrained(number)));
        }
    }

    /** Delivers a tick and reports lost servers that this VM dispatches for, as request traffic would. */
    void tick() {
        deliver(new ControlEvent.Tick());
        if (!up || !hasPlan() || deployment.detectedLostServers().isEmpty()) {
            return;
        }
        for (ServerId lost : deployment.detectedLostServers()) {
            boolean dispatches = identity.self().equals(plan().dispatchers().get(lost));
            if (dispatches && reportedUnreachable.add(lost)) {
                deliver(new ControlEvent.ServerObserved(lost, ServerCondition.UNREACHABLE));
            }
        }
    }

    /** Reports the load of the servers that this VM dispatches for; every shard has the same load. */
    void reportLoad() {
        if (!up || !hasPlan()) {
            return;
        }
        Map<ServerId, List<ShardId>> shards = new HashMap<>();
        plan().dispatchers().forEach((server, vm) -> {
            if (vm.equals(identity.self())) {
                shards.put(server, new ArrayList<>());
            }
        });
        plan().owners().forEach((shard, owner) -> {
            if (shards.containsKey(owner.server())) {
                shards.get(owner.server()).add(shard);
            }
        });
        List<ServerLoad> loads = new ArrayList<>();
        shards.forEach((server, owned) -> loads.add(load(server, owned)));
        deliver(new ControlEvent.LoadMeasured(loads));
    }

    private static ServerLoad load(ServerId server, List<ShardId> owned) {
        List<ServerLoad.ShardLoad> hottest = owned.stream()
                .sorted()
                .limit(HOTTEST_SHARDS)
                .map(s -> new ServerLoad.ShardLoad(s, REQUESTS_PER_SECOND_PER_SHARD, s.index(), 0.01))
                .toList();
        return new ServerLoad(server, owned.size() * REQUESTS_PER_SECOND_PER_SHARD, hottest);
    }
}
