package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServerStart;

/** The store comes back from an older copy and has lost its newest range tables. */
class StoreEraTest {
    private static final List<String> VMS = List.of("a", "b", "c");
    /** Store silence of a leader, time on the way, hold and clock margin, and two seconds until another VM claims. */
    private static final long LONGEST_WAIT_MILLIS = 10_000 + 1_200 + 4_120 + 2_000 + 500;

    private final RangeSimulation simulation = new RangeSimulation(new SplittableRandom(7));
    private final List<ServerStart> serverStarts = new ArrayList<>();
    private ServerStart first;

    @BeforeEach
    void startThreeVmsAndFiveServers() {
        VMS.forEach(simulation::addVm);
        for (int i = 0; i < 5; i++) {
            serverStarts.add(simulation.addServer("s" + i, 1));
        }
        first = serverStarts.get(0);
        simulation.runFor(3_000);
    }

    private void assertOneHolder() {
        assertThat(simulation.violations).as("keys with two holders").isEmpty();
        assertThat(simulation.prematureGrants).as("grants beside another hold").isEmpty();
    }

    private void assertOneHolderAndFullService() {
        simulation.runFor(LONGEST_WAIT_MILLIS + 15_000);
        assertOneHolder();
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
    }

    /** Takes the store away from all VMs for a while; it comes back without its newest records. */
    private void loseNewest(int count, long awayMillis) {
        simulation.disconnectedFromStore.addAll(VMS);
        simulation.runFor(awayMillis);
        simulation.store.loseNewest(count);
        simulation.disconnectedFromStore.clear();
    }

    /** Runs for a while; returns the fewest keys that were held by their recorded owners, or by any server. */
    private long fewestHeldKeys(long millis) {
        long fewest = Long.MAX_VALUE;
        long endMillis = simulation.nowMillis + millis;
        while (simulation.nowMillis < endMillis) {
            simulation.runFor(10);
            fewest = Math.min(fewest, simulation.heldKeys());
        }
        return fewest;
    }

    /** Guards against a term that is given out twice, with its fences. */
    @Test
    void termOfALostClaimIsNotGivenOutAgain() {
        simulation.leaderCandidate = "b";
        simulation.runUntil(() -> simulation.vms.get("b").coordinator.isLeading(), 5_000);
        simulation.runFor(1_000);
        long lostTerm = simulation.recorded().term();
        simulation.stoppedVms.add("b");
        simulation.leaderCandidate = "c";
        simulation.store.loseNewest((int) simulation.store.end());
        simulation.runUntil(() -> simulation.vms.get("c").coordinator.isLeading(), 10_000);
        assertThat(simulation.vms.get("c").coordinator.table().term()).isGreaterThan(lostTerm);
        assertOneHolderAndFullService();
    }

    /** Guards against keys that are given away although a lost move gave them to a server that still holds them. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 6, 8})
    void lostMovesOfAnEndedLeaderLeaveOneHolder(int lostRecords) {
        simulation.ready.remove(first);
        simulation.runFor(1_500);
        simulation.stoppedVms.add("a");
        simulation.leaderCandidate = "b";
        loseNewest(lostRecords, 500);
        simulation.ready.add(first);
        assertOneHolderAndFullService();
    }

    /** Guards against lost moves while the leader lives, at each step of a move. */
    @ParameterizedTest
    @ValueSource(longs = {0, 20, 40, 60, 100, 150, 300, 1_000})
    void lossDuringAMoveLeavesOneHolder(long afterMillis) {
        simulation.ready.remove(first);
        simulation.runFor(afterMillis);
        loseNewest(2, 500);
        assertOneHolderAndFullService();
    }

    /** Guards against an interruption of keys whose owner and leader live. */
    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1_500, 3_000, 4_000, 5_000})
    void ownersGoOnWhileTheLeaderLives(long awayMillis) {
        simulation.vmsReport = true;
        loseNewest(1, awayMillis);
        assertThat(fewestHeldKeys(20_000)).isEqualTo(simulation.checkedKeys());
        assertThat(simulation.recorded().era()).isOne();
        assertThat(simulation.vms.get("a").coordinator.isLeading()).isTrue();
        assertOneHolderAndFullService();
    }

    /** Guards against a cut-off leader that renews owners whose keys a leader with a lost term has given away. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000, 8_000, 9_000})
    void formerLeaderDoesNotRenewWhatALostTermGaveAway(long afterMillis) {
        simulation.disconnectedFromStore.add("a");
        simulation.isolatedVms.add("a");
        simulation.leaderCandidate = "b";
        simulation.runFor(200);
        simulation.ready.remove(first);
        simulation.runFor(afterMillis);
        simulation.store.loseNewest((int) simulation.store.end() - 3);
        simulation.stoppedVms.add("b");
        simulation.disconnectedFromStore.remove("a");
        simulation.leaderCandidate = "a";
        simulation.ready.add(first);
        assertOneHolderAndFullService();
    }

    /** Guards against two leaders that both take their tables for the newest ones. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 1_000, 2_000, 3_000, 5_000})
    void leadersOfALostAndOfAnEarlierTermLeaveOneHolder(long afterMillis) {
        simulation.disconnectedFromStore.add("a");
        simulation.isolatedVms.add("a");
        simulation.leaderCandidate = "b";
        simulation.runFor(200);
        simulation.ready.remove(first);
        simulation.runFor(afterMillis);
        simulation.store.loseNewest((int) simulation.store.end() - 3);
        simulation.disconnectedFromStore.remove("a");
        simulation.disconnectedFromStore.add("b");
        simulation.runFor(6_000);
        simulation.ready.add(first);
        simulation.ready.remove(serverStarts.get(1));
        simulation.disconnectedFromStore.remove("b");
        assertOneHolderAndFullService();
    }

    /** Guards against a move whose append was under way when the records were lost. */
    @ParameterizedTest
    @ValueSource(longs = {100, 700, 1_100, 2_500, 4_000})
    void appendThatIsCarriedOutAfterTheLossTakesNoEffect(long carriedOutAfterMillis) {
        Set<String> delayed = new HashSet<>();
        simulation.appendFate = (vm, record) -> delayed.add(vm)
                ? Optional.of(AppendFate.carriedOutWithoutAnswer(carriedOutAfterMillis))
                : Optional.empty();
        simulation.ready.remove(first);
        simulation.runFor(50);
        simulation.store.loseNewest(0);
        assertOneHolderAndFullService();
        assertThat(simulation.recorded().era()).isOne();
    }

    /** Guards against a second loss before the first one is dealt with. */
    @ParameterizedTest
    @ValueSource(longs = {10, 1_000, 3_500, 6_000, 12_000})
    void secondLossLeavesOneHolder(long afterMillis) {
        loseNewest(2, 300);
        simulation.runFor(afterMillis);
        simulation.ready.remove(first);
        simulation.runFor(300);
        simulation.leaderCandidate = "b";
        loseNewest(1, 300);
        assertOneHolderAndFullService();
    }

    /** Guards against a claimer that takes over from a leader while the holders of lost tables are not yet known. */
    @ParameterizedTest
    @ValueSource(longs = {100, 3_000, 6_000, 10_500, 14_000})
    void nextLeaderAfterALossWaitsAsWell(long afterMillis) {
        simulation.ready.remove(first);
        simulation.runFor(700);
        simulation.stoppedVms.add("a");
        simulation.leaderCandidate = "b";
        loseNewest(5, 100);
        simulation.runUntil(() -> simulation.vms.get("b").coordinator.isLeading(), 5_000);
        simulation.runFor(afterMillis);
        simulation.leaderCandidate = "c";
        simulation.ready.add(first);
        assertOneHolderAndFullService();
    }
}
