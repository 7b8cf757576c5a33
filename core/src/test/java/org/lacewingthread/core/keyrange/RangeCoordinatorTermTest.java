package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServerStart;

/** Grants that arrive after their call was aborted, and processes that lead again after another one led. */
class RangeCoordinatorTermTest {
    /** Timeout of a grant in the daemon (ServerCommandClient). */
    private static final long DAEMON_GRANT_TIMEOUT_MILLIS = 400;

    private final RangeSimulation simulation = new RangeSimulation(new SplittableRandom(7));
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

    /** Guards against a grant that is still on its way when its call is aborted, within the assumed longest delivery. */
    @ParameterizedTest
    @ValueSource(longs = {600, 800, 1_000, 1_190})
    void grantThatArrivesAfterItsCallWasAbortedIsAwaited(long arrivesAfterMillis) {
        simulation.grantFate = (vm, grant) -> grant.server().equals(first)
                ? Optional.of(GrantFate.appliedWithoutAnswer(
                        arrivesAfterMillis, arrivesAfterMillis, DAEMON_GRANT_TIMEOUT_MILLIS))
                : Optional.empty();
        simulation.runFor(15_000);
        assertThat(simulation.violations).as("keys with two holders").isEmpty();
        assertThat(simulation.prematureGrants).as("grants beside another hold").isEmpty();
    }

    /** Guards against further grants to a silent server while the hold that former leaders may renew has no known end. */
    @Test
    void silentServerGetsNoGrantsThreeSecondsIntoATermWhoseFormerLeaderMayRenew() {
        simulation.disconnectedFromStore.add("a");
        simulation.isolatedVms.add("a");
        simulation.unreachableFrom.put("b", Set.of(first));
        simulation.leaderCandidate = "b";
        simulation.runFor(3_000);
        AtomicBoolean granted = new AtomicBoolean();
        simulation.grantFate = (vm, grant) -> {
            granted.compareAndSet(false, vm.equals("b") && grant.server().equals(first));
            return Optional.empty();
        };
        simulation.runFor(3_000);
        assertThat(granted).isFalse();
        assertThat(simulation.violations).isEmpty();
    }

    /** Guards against grants of an earlier term that block the owners of a later one. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void processThatLeadsAgainRenewsOwnersThatAnotherLeaderChose(boolean stopsWithPendingGrants) {
        AtomicBoolean renewalUnderWay = new AtomicBoolean();
        simulation.grantFate = (vm, grant) -> {
            if (!stopsWithPendingGrants || !vm.equals("a") || !grant.server().equals(first)) {
                return Optional.empty();
            }
            renewalUnderWay.set(true);
            return Optional.of(GrantFate.answered(2, 300));
        };
        simulation.runUntil(renewalUnderWay::get, 2_000);
        simulation.leaderCandidate = "b";
        simulation.runFor(2_000);
        simulation.grantFate = (vm, grant) -> Optional.empty();
        simulation.ready.remove(first);
        simulation.runFor(30_000);
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
        simulation.leaderCandidate = "a";
        assertThat(unservedTimeWithin(10_000))
                .as("time with unserved keys, in ms")
                .isZero();
    }

    /** Guards against grants of an earlier term that count as renewable by a leader that is long gone. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void processThatLeadsAgainAfterACrashRenewsOwnersThatAnotherLeaderChose(boolean ledBefore) {
        if (ledBefore) {
            Set<ServerStart> unreachable = new HashSet<>(Set.of(first));
            simulation.unreachableFrom.put("b", unreachable);
            simulation.isolatedVms.add("a");
            simulation.leaderCandidate = "b";
            simulation.runFor(1_000);
        }
        simulation.leaderCandidate = "c";
        simulation.runFor(1_000);
        simulation.isolatedVms.clear();
        simulation.unreachableFrom.clear();
        simulation.runFor(5_000);
        simulation.ready.remove(first);
        simulation.runFor(30_000);
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
        simulation.stoppedVms.add("c");
        simulation.leaderCandidate = "b";
        assertThat(unservedTimeWithin(20_000))
                .as("time with unserved keys, in ms")
                .isZero();
    }

    /** Guards against the confirmation of an earlier term that arrives late, after its sender led again. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void lateConfirmationOfAnEarlierTermDoesNotShowThatALeaderStopped(boolean confirmationArrivesLate) {
        Leader leader = simulation.recorded().leader().orElseThrow();
        simulation.leaderCandidate = "b";
        simulation.runFor(2_000);
        long announcedTerm = simulation.recorded().term();
        simulation.leaderCandidate = "a";
        simulation.runFor(2_000);
        Set<ServerStart> others = new HashSet<>(serverStarts);
        others.remove(first);
        simulation.unreachableFrom.put("a", others);
        simulation.unreachableFrom.put("b", Set.of(first));
        simulation.disconnectedFromStore.add("a");
        simulation.isolatedVms.add("a");
        simulation.leaderCandidate = "b";
        simulation.runFor(100);
        if (confirmationArrivesLate) {
            simulation
                    .vms
                    .get("b")
                    .coordinator
                    .onFormerLeaderStopped(leader.process(), announcedTerm, simulation.nowMillis);
        }
        simulation.runFor(20_000);
        assertThat(simulation.violations).as("keys with two holders").isEmpty();
    }

    private long unservedTimeWithin(long millis) {
        long unserved = 0;
        for (long at = 0; at < millis; at += 10) {
            simulation.runFor(10);
            unserved += simulation.servedKeys() < simulation.checkedKeys() ? 10 : 0;
        }
        return unserved;
    }
}
