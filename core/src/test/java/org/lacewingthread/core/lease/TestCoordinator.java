package org.lacewingthread.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.ownership.OwnershipActions;
import org.lacewingthread.core.ownership.OwnershipCoordinator;
import org.lacewingthread.core.ownership.OwnershipInputs;

/** Coordinator that assigns dispatchers to three servers and keeps moving six shards, without recording anything. */
final class TestCoordinator implements OwnershipCoordinator {
    private static final int SERVERS = 3;
    private static final int SHARDS = 6;
    private static final long MOVE_MILLIS = 400;

    /** Old dispatcher of a server or shard, and the plan version from which on it no longer dispatches it. */
    private record Departure(VmStart vm, long version) {}

    private final Term term;
    private final Map<ServerId, VmStart> dispatchers = new HashMap<>();
    private final Map<ShardId, RoutePlan.Ownership> owners = new HashMap<>();
    private final Map<ServerId, Departure> serverDepartures = new HashMap<>();
    private final Map<ShardId, List<Departure>> shardDepartures = new HashMap<>();
    private boolean tookOver;
    private boolean changed;
    private long version;
    private long moves;
    private long nextMoveMillis;

    TestCoordinator(Term term) {
        this.term = term;
    }

    @Override
    public OwnershipActions step(OwnershipInputs inputs, long nowMillis) {
        boolean predecessorGone = nowMillis >= inputs.predecessorEndMillis();
        if (!tookOver && !inputs.allReported() && !predecessorGone) {
            return OwnershipActions.NONE;
        }
        if (!tookOver) {
            takeOver(inputs);
        }
        dropLostDispatchers(inputs);
        serverDepartures.values().removeIf(d -> inputs.dispatcherStatus()
                .hasStoppedUsingPlansBefore(d.vm, d.version, nowMillis));
        shardDepartures.values().removeIf(l -> l.stream()
                .allMatch(d -> inputs.dispatcherStatus().hasStoppedUsingPlansBefore(d.vm, d.version, nowMillis)));
        if (predecessorGone && !inputs.eligibleDispatchers().isEmpty()) {
            assignMissing(inputs.eligibleDispatchers());
            moveNextShard(nowMillis);
        }
        return nextStep();
    }

    private void takeOver(OwnershipInputs inputs) {
        tookOver = true;
        changed = true;
        inputs.reportedPlans()
                .forEach((vm, plan) -> plan.ifPresent(p -> {
                    p.dispatchers().forEach((server, dispatcher) -> {
                        if (dispatcher.equals(vm)) {
                            dispatchers.putIfAbsent(server, vm);
                        }
                    });
                    p.owners().forEach((shard, owner) -> {
                        if (vm.equals(p.dispatchers().get(owner.server()))) {
                            owners.putIfAbsent(shard, owner);
                        }
                    });
                }));
    }

    private void dropLostDispatchers(OwnershipInputs inputs) {
        for (ServerId server : List.copyOf(dispatchers.keySet())) {
            VmStart vm = dispatchers.get(server);
            if (!inputs.eligibleDispatchers().contains(vm)) {
                dispatchers.remove(server);
                serverDepartures.put(server, new Departure(vm, version + 1));
                changed = true;
            }
        }
    }

    private void assignMissing(List<VmStart> members) {
        for (int i = 0; i < SERVERS; i++) {
            ServerId server = new ServerId("server-" + i);
            if (!dispatchers.containsKey(server) && !serverDepartures.containsKey(server)) {
                dispatchers.put(server, members.get(i % members.size()));
                changed = true;
            }
        }
        for (int i = 0; i < SHARDS; i++) {
            ShardId shard = new ShardId(new ApplicationId("ledger"), i);
            if (!owners.containsKey(shard) && !shardDepartures.containsKey(shard)) {
                ServerId server = new ServerId("server-" + (i + moves) % SERVERS);
                owners.put(shard, new RoutePlan.Ownership(server, new FencingToken(term, version + 1)));
                changed = true;
            }
        }
    }

    private void moveNextShard(long nowMillis) {
        if (nowMillis < nextMoveMillis) {
            return;
        }
        nextMoveMillis = nowMillis + MOVE_MILLIS;
        moves++;
        ShardId shard = new ShardId(new ApplicationId("ledger"), (int) (moves % SHARDS));
        RoutePlan.Ownership owner = owners.remove(shard);
        if (owner != null) {
            List<Departure> departures = new ArrayList<>();
            Optional.ofNullable(serverDepartures.get(owner.server())).ifPresent(departures::add);
            Optional.ofNullable(dispatchers.get(owner.server()))
                    .ifPresent(vm -> departures.add(new Departure(vm, version + 1)));
            shardDepartures.put(shard, departures);
            changed = true;
        }
    }

    private OwnershipActions nextStep() {
        if (!changed) {
            return OwnershipActions.NONE;
        }
        changed = false;
        version++;
        RoutePlan plan = new RoutePlan(term, version, dispatchers, owners);
        return new OwnershipActions(Optional.of(plan), List.of(), List.of(), List.of());
    }

    @Override
    public void orderAnswered(ServerId server, long sequence, boolean accepted, long nowMillis) {}

    @Override
    public void orderFailed(ServerId server, long sequence, long nowMillis) {}
}
