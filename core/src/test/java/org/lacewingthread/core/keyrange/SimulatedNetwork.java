package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lacewingthread.core.id.ServerStart;

/** Carries grants and releases to the simulated servers, and checks each grant when it is sent. */
final class SimulatedNetwork {
    private final RangeSimulation simulation;
    private final List<GrantUnderWay> grantsUnderWay = new ArrayList<>();

    private record GrantUnderWay(CoordinatorAction.Grant grant, long arrivedMillis) {}

    SimulatedNetwork(RangeSimulation simulation) {
        this.simulation = simulation;
    }

    void send(String vm, CoordinatorAction.Grant grant, GrantFate planned, Consumer<GrantOutcome> onAnswer) {
        GrantFate fate = reaches(vm, grant.server()) ? planned : GrantFate.lost(GrantFate.TIMEOUT_MILLIS);
        checkNoOtherServerMayHold(vm, grant);
        SimulatedKeyServer server = simulation.servers.get(grant.server());
        if (fate.arrivesAfterMillis().isPresent()) {
            GrantUnderWay underWay = new GrantUnderWay(
                    grant, simulation.nowMillis + fate.arrivesAfterMillis().get());
            grantsUnderWay.add(underWay);
            simulation.schedule(fate.appliedAfterMillis(), () -> {
                grantsUnderWay.remove(underWay);
                boolean granted =
                        server.grant(grant.range(), grant.fence(), grant.holdMillis(), underWay.arrivedMillis());
                if (fate.answered()) {
                    long answerMillis = fate.repliedAfterMillis() - fate.appliedAfterMillis();
                    simulation.schedule(
                            answerMillis, () -> onAnswer.accept(granted ? GrantOutcome.GRANTED : GrantOutcome.FENCED));
                }
            });
        }
        if (!fate.answered()) {
            simulation.schedule(fate.repliedAfterMillis(), () -> onAnswer.accept(GrantOutcome.UNKNOWN));
        }
    }

    void send(String vm, CoordinatorAction.Release release, ReleaseFate planned, Consumer<ReleaseOutcome> onAnswer) {
        SimulatedKeyServer server = simulation.servers.get(release.server());
        ReleaseFate fate = reaches(vm, release.server()) ? planned : ReleaseFate.lost();
        if (simulation.replaced.contains(release.server()) && !server.alive) {
            fate = new ReleaseFate(Optional.empty(), ReleaseOutcome.SERVER_REPLACED, 2);
        }
        fate.carriedOutAfterMillis()
                .ifPresent(delayMillis -> simulation.schedule(delayMillis, () -> server.release(release.range())));
        ReleaseOutcome outcome = fate.outcome();
        simulation.schedule(fate.repliedAfterMillis(), () -> onAnswer.accept(outcome));
    }

    boolean reaches(String vm, ServerStart server) {
        return simulation.servers.get(server).alive
                && !simulation.unreachable.contains(server)
                && !simulation.unreachableFrom.getOrDefault(vm, Set.of()).contains(server);
    }

    private void checkNoOtherServerMayHold(String vm, CoordinatorAction.Grant grant) {
        for (int key : RangeSimulation.CHECKED_KEYS) {
            if (!grant.range().contains(key)
                    || simulation.servers.get(grant.server()).highestFence(key) > grant.fence()) {
                continue;
            }
            List<ServerStart> others = simulation.servers.keySet().stream()
                    .filter(other -> !other.equals(grant.server()) && mayHold(other, key))
                    .toList();
            if (!others.isEmpty()) {
                simulation.prematureGrants.add("at " + simulation.nowMillis + " ms " + vm + " grants key " + key
                        + " to " + grant.server() + " with fence " + grant.fence() + " while " + others
                        + " may hold it");
            }
        }
    }

    private boolean mayHold(ServerStart start, int key) {
        SimulatedKeyServer server = simulation.servers.get(start);
        return server.holds(key, simulation.nowMillis)
                || grantsUnderWay.stream()
                        .anyMatch(underWay -> server.alive
                                && underWay.grant().server().equals(start)
                                && underWay.grant().range().contains(key)
                                && underWay.grant().fence() >= server.highestFence(key)
                                && SimulatedKeyServer.heldUntilMillis(
                                                underWay.arrivedMillis(),
                                                underWay.grant().holdMillis())
                                        > simulation.nowMillis);
    }
}
