package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

/**
 * Carries grants and releases to the simulated servers, and checks each grant when it is sent. A call names the id of its
 * server, so it reaches the start that runs under this id when it arrives. What has arrived ends with that start.
 */
final class SimulatedNetwork {
    /** Time until the address of a server that does not run refuses a connection. */
    private static final long REFUSAL_MILLIS = 2;

    private final RangeSimulation simulation;
    private final List<GrantUnderWay> grantsUnderWay = new ArrayList<>();

    private static final class GrantUnderWay {
        private final CoordinatorAction.Grant grant;
        private final long arrivesMillis;
        /** The start that the call reached; empty before its arrival. */
        private Optional<SimulatedKeyServer> receiver = Optional.empty();

        private GrantUnderWay(CoordinatorAction.Grant grant, long arrivesMillis) {
            this.grant = grant;
            this.arrivesMillis = arrivesMillis;
        }

        boolean mayTakeEffectAt(SimulatedKeyServer server, int key, long nowMillis) {
            return server.alive
                    && grant.server().server().equals(server.start.server())
                    && receiver.filter(reached -> reached != server).isEmpty()
                    && grant.range().contains(key)
                    && grant.fence() >= server.highestFence(key)
                    && SimulatedKeyServer.heldUntilMillis(arrivesMillis, grant.holdMillis()) > nowMillis;
        }
    }

    SimulatedNetwork(RangeSimulation simulation) {
        this.simulation = simulation;
    }

    void send(String vm, CoordinatorAction.Grant grant, GrantFate planned, Consumer<GrantOutcome> onAnswer) {
        GrantFate fate = reaches(vm, grant.server()) ? planned : GrantFate.lost(GrantFate.TIMEOUT_MILLIS);
        checkNoOtherServerMayHold(vm, grant);
        if (simulation.refusesConnections
                && runningStart(grant.server().server()).isEmpty()) {
            simulation.schedule(REFUSAL_MILLIS, () -> onAnswer.accept(GrantOutcome.NOT_SENT));
            return;
        }
        if (fate.arrivesAfterMillis().isPresent()) {
            long delayMillis = fate.arrivesAfterMillis().get();
            GrantUnderWay underWay = new GrantUnderWay(grant, simulation.nowMillis + delayMillis);
            grantsUnderWay.add(underWay);
            simulation.schedule(delayMillis, () -> arrive(underWay));
            simulation.schedule(fate.appliedAfterMillis(), () -> apply(underWay, fate, onAnswer));
        }
        if (!fate.answered()) {
            GrantOutcome outcome = fate.answeredByAnother() ? GrantOutcome.GRANTED_IN_DOUBT : GrantOutcome.UNKNOWN;
            simulation.schedule(fate.repliedAfterMillis(), () -> onAnswer.accept(outcome));
        }
    }

    private void arrive(GrantUnderWay underWay) {
        underWay.receiver = runningStart(underWay.grant.server().server());
        if (underWay.receiver.isEmpty()) {
            grantsUnderWay.remove(underWay);
        }
    }

    private void apply(GrantUnderWay underWay, GrantFate fate, Consumer<GrantOutcome> onAnswer) {
        grantsUnderWay.remove(underWay);
        CoordinatorAction.Grant grant = underWay.grant;
        Optional<SimulatedKeyServer> receiver = underWay.receiver.filter(server -> server.alive);
        GrantOutcome outcome = receiver.map(
                        server -> server.grant(grant.range(), grant.fence(), grant.holdMillis(), underWay.arrivesMillis)
                                ? GrantOutcome.GRANTED
                                : GrantOutcome.FENCED)
                .orElse(GrantOutcome.UNKNOWN);
        if (fate.answered()) {
            long repliedAfterMillis =
                    outcome == GrantOutcome.UNKNOWN ? GrantFate.TIMEOUT_MILLIS : fate.repliedAfterMillis();
            simulation.schedule(repliedAfterMillis - fate.appliedAfterMillis(), () -> onAnswer.accept(outcome));
        }
    }

    void send(String vm, CoordinatorAction.Release release, ReleaseFate planned, Consumer<ReleaseOutcome> onAnswer) {
        ServerId id = release.server().server();
        if (simulation.replaced.contains(release.server()) && runningStart(id).isEmpty()) {
            simulation.schedule(2, () -> onAnswer.accept(ReleaseOutcome.SERVER_REPLACED));
            return;
        }
        if (simulation.refusesConnections && runningStart(id).isEmpty()) {
            simulation.schedule(REFUSAL_MILLIS, () -> onAnswer.accept(ReleaseOutcome.UNKNOWN));
            return;
        }
        ReleaseFate fate = reaches(vm, release.server()) ? planned : ReleaseFate.lost();
        List<SimulatedKeyServer> receivers = new ArrayList<>();
        fate.carriedOutAfterMillis()
                .ifPresent(delayMillis ->
                        simulation.schedule(delayMillis, () -> runningStart(id).ifPresent(server -> {
                            receivers.add(server);
                            server.release(release.range());
                        })));
        simulation.schedule(fate.repliedAfterMillis(), () -> {
            // A server answers when its requests have ended; one that ends before sends no answer.
            boolean answered = receivers.stream().anyMatch(server -> server.alive);
            onAnswer.accept(answered ? fate.outcome() : ReleaseOutcome.UNKNOWN);
        });
    }

    private Optional<SimulatedKeyServer> runningStart(ServerId id) {
        return simulation.servers.values().stream()
                .filter(server -> server.alive && server.start.server().equals(id))
                .findFirst();
    }

    /** Returns whether a call reaches a start of the server now. */
    boolean reaches(String vm, ServerStart server) {
        return runningStart(server.server()).isPresent()
                && !containsId(simulation.unreachable, server.server())
                && !containsId(simulation.unreachableFrom.getOrDefault(vm, Set.of()), server.server());
    }

    private static boolean containsId(Set<ServerStart> starts, ServerId id) {
        return starts.stream().anyMatch(start -> start.server().equals(id));
    }

    private void checkNoOtherServerMayHold(String vm, CoordinatorAction.Grant grant) {
        ServerId id = grant.server().server();
        for (int key : RangeSimulation.CHECKED_KEYS) {
            boolean refused = runningStart(id)
                    .filter(server -> server.highestFence(key) > grant.fence())
                    .isPresent();
            if (!grant.range().contains(key) || refused) {
                continue;
            }
            List<ServerStart> others = simulation.servers.keySet().stream()
                    .filter(other -> !other.server().equals(id) && mayHold(other, key))
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
                        .anyMatch(underWay -> underWay.mayTakeEffectAt(server, key, simulation.nowMillis));
    }
}
