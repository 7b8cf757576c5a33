package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServerStart;

/** Calls meant for one start of a server that reach its next start, which has seen no fence and accepts any. */
class RangeCoordinatorRestartTest {
    private final RangeSimulation simulation = new RangeSimulation(new SplittableRandom(7));
    private final SimulatedRestarts restarts = new SimulatedRestarts(simulation);
    private final List<ServerStart> serverStarts = new ArrayList<>();
    private ServerStart first;

    @BeforeEach
    void startThreeVmsAndFiveServers() {
        List.of("a", "b", "c").forEach(simulation::addVm);
        for (int i = 0; i < 5; i++) {
            serverStarts.add(simulation.addServer("s" + i, 1));
        }
        first = serverStarts.get(0);
        simulation.runFor(3_000);
    }

    /** Guards against a takeover while a renewal for the old start is on its way to the new one. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 200, 300, 400, 500, 600, 700, 800, 900})
    void renewalForTheOldStartThatArrivesAtTheNewOneBlocksTheTakeover(long restartMillis) {
        simulation.runFor(restartMillis);
        slowDownGrantsToFirst(GrantFate.answered(700, 710));
        restarts.restart(first, 0, 300, false);
        simulation.runFor(5_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a takeover while a renewal for the old start awaits its application at the new one. */
    @ParameterizedTest
    @ValueSource(longs = {0, 200, 400, 600, 800})
    void unansweredRenewalForTheOldStartThatTheNewOneAppliesLateBlocksTheTakeover(long restartMillis) {
        simulation.runFor(restartMillis);
        slowDownGrantsToFirst(GrantFate.appliedWithoutAnswer(2, 2_500, 400));
        restarts.restart(first, 0, 1_500, false);
        simulation.runFor(1_700);
        simulation.grantFate = (vm, grant) -> Optional.empty();
        simulation.runFor(10_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a takeover from a new start that accepted a renewal for the old one. */
    @ParameterizedTest
    @ValueSource(longs = {0, 200, 400, 600, 800})
    void newStartThatAnsweredARenewalForTheOldOneReleasesTheKeysBeforeTheTakeover(long restartMillis) {
        simulation.runFor(restartMillis);
        restarts.restart(first, 0, 1_200, false);
        simulation.runFor(5_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /**
     * Guards against an unanswered renewal that arrives at the new start, after the old one accepted its repetition and
     * the new one released the keys.
     */
    @ParameterizedTest
    @ValueSource(longs = {10, 20, 30, 40, 50, 60, 70, 80, 90, 100})
    void unansweredRenewalThatArrivesAfterTheReleaseByTheNewStartBlocksTheTakeover(long restartMillis) {
        AtomicInteger grants = new AtomicInteger();
        simulation.grantFate = (vm, grant) -> {
            if (!grant.server().equals(first)) {
                return Optional.empty();
            }
            return Optional.of(
                    grants.getAndIncrement() == 0
                            ? GrantFate.appliedWithoutAnswer(1_150, 1_150, 400)
                            : GrantFate.answered(2, 4));
        };
        simulation.runUntil(() -> grants.get() == 2, 3_000);
        simulation.ready.remove(first);
        simulation.releaseMillis = 10;
        simulation.runFor(restartMillis);
        restarts.restart(first, 0, 3_000, false);
        simulation.runFor(5_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    private void slowDownGrantsToFirst(GrantFate fate) {
        simulation.grantFate =
                (vm, grant) -> grant.server().server().equals(first.server()) ? Optional.of(fate) : Optional.empty();
    }

    private void assertOneHolderAndFullServiceAfterFaults() {
        simulation.grantFate = (vm, grant) -> Optional.empty();
        simulation.runFor(20_000);
        assertThat(simulation.violations).as("keys with two holders").isEmpty();
        assertThat(simulation.prematureGrants).as("grants beside another hold").isEmpty();
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
    }
}
