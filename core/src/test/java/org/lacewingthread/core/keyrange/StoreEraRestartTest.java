package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServerStart;

/** The store loses all range tables, and processes start that have not seen its era change. */
class StoreEraRestartTest {
    private static final List<String> VMS = List.of("a", "b", "c");
    /** Store silence of a leader, time on the way, hold and clock margin, and two seconds until another VM claims. */
    private static final long LONGEST_WAIT_MILLIS = 10_000 + 1_200 + 4_120 + 2_000 + 500;

    private final RangeSimulation simulation = new RangeSimulation(new SplittableRandom(11));
    private ServerStart first;
    private long starts;

    @BeforeEach
    void createThreeVmsAndFiveServers() {
        VMS.forEach(simulation::addVm);
        first = simulation.addServer("s0", 1);
        for (int i = 1; i < 5; i++) {
            simulation.addServer("s" + i, 1);
        }
    }

    private void loseAllTables() {
        simulation.store.loseNewest((int) simulation.store.end());
    }

    private void restart(List<String> vms) {
        vms.forEach(vm -> simulation.vms.get(vm).restart(++starts));
    }

    private void assertOneHolderAndFullService() {
        simulation.runFor(LONGEST_WAIT_MILLIS + 5_000);
        assertThat(simulation.violations).as("keys with two holders").isEmpty();
        assertThat(simulation.prematureGrants).as("grants beside another hold").isEmpty();
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
    }

    /** Review case 2: an empty log was taken for a new deployment, and keys were granted beside the holds of before. */
    @ParameterizedTest
    @ValueSource(longs = {50, 500, 1_500, 3_000, 10_000})
    void restartedProcessesWaitForTheGrantsOfLostLeaders(long afterMillis) {
        simulation.runFor(afterMillis);
        simulation.ready.remove(first);
        simulation.runFor(300);
        simulation.leaderCandidate = "b";
        loseAllTables();
        restart(VMS);
        assertOneHolderAndFullService();
    }

    /** Guards against a restarted leader that acts before the VMs that saw the loss. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "b"})
    void restartedProcessBesideOthersThatSawTheLossWaits(String restarted) {
        simulation.runFor(2_000);
        simulation.ready.remove(first);
        simulation.leaderCandidate = restarted;
        loseAllTables();
        restart(List.of(restarted));
        assertOneHolderAndFullService();
    }

    /** Guards against a first claim that is recorded only in the lost history. */
    @ParameterizedTest
    @ValueSource(longs = {100, 700, 2_000})
    void claimThatIsCarriedOutAfterTheLossIsNotTheFirstOne(long carriedOutAfterMillis) {
        simulation.appendFate = (vm, record) -> record.table().era() == 0
                ? Optional.of(AppendFate.carriedOutWithoutAnswer(carriedOutAfterMillis))
                : Optional.empty();
        simulation.runFor(50);
        loseAllTables();
        restart(List.of("a"));
        assertOneHolderAndFullService();
    }

    /** Guards against a leader whose claim does not say that tables were lost, because its process ended in between. */
    @ParameterizedTest
    @ValueSource(longs = {10, 200, 5_000, 12_000})
    void nextProcessAfterTheClaimWaitsAsWell(long afterClaimMillis) {
        simulation.runFor(3_000);
        loseAllTables();
        restart(VMS);
        simulation.runUntil(() -> simulation.store.end() > 0, 5_000);
        simulation.runFor(afterClaimMillis);
        simulation.leaderCandidate = "c";
        restart(VMS);
        assertOneHolderAndFullService();
    }

    /** Guards against a second loss, which takes the claim that stated the first one. */
    @ParameterizedTest
    @ValueSource(longs = {100, 2_500, 8_000})
    void secondLossAfterRestartsLeavesOneHolder(long afterMillis) {
        simulation.runFor(3_000);
        loseAllTables();
        restart(VMS);
        simulation.runFor(afterMillis);
        simulation.ready.remove(first);
        simulation.leaderCandidate = "b";
        loseAllTables();
        restart(VMS);
        assertOneHolderAndFullService();
    }

    /** Guards against a leader that is frozen during the loss and renews its grants after it. */
    @ParameterizedTest
    @ValueSource(longs = {500, 3_000, 8_000, 14_000})
    void frozenLeaderThatThawsAfterTheLossLeavesOneHolder(long frozenMillis) {
        simulation.runFor(3_000);
        simulation.pause("a", frozenMillis);
        simulation.leaderCandidate = "b";
        simulation.ready.remove(first);
        loseAllTables();
        restart(List.of("b", "c"));
        assertOneHolderAndFullService();
    }

    private void loseAllTablesBeforeTheStoreAnswers(String vm) {
        simulation.leaderCandidate = vm;
        simulation.ready.remove(first);
        loseAllTables();
        simulation.vms.get(vm).refusedByStore = false;
        simulation.disconnectedFromStore.clear();
        // The others read the store's new era later than this VM.
        simulation.disconnectedFromStore.addAll(List.of("a", "b"));
        simulation.schedule(400, simulation.disconnectedFromStore::clear);
    }

    /** Review case 10: a VM that the store refused until the loss took the empty log for that of a new deployment. */
    @ParameterizedTest
    @ValueSource(longs = {300, 1_500, 4_000, 10_000})
    void vmThatTheStoreRefusesUntilTheLossWaits(long refusedMillis) {
        simulation.vms.get("c").refusedByStore = true;
        simulation.runFor(refusedMillis);
        loseAllTablesBeforeTheStoreAnswers("c");
        assertOneHolderAndFullService();
    }

    /** Guards against a VM that has heard nothing of the store until the loss, and so of no change of its era either. */
    @ParameterizedTest
    @ValueSource(longs = {1_500, 4_000, 10_000})
    void vmThatTheStoreLeavesUnansweredUntilTheLossWaits(long silentMillis) {
        simulation.disconnectedFromStore.add("c");
        simulation.runFor(silentMillis);
        loseAllTablesBeforeTheStoreAnswers("c");
        assertOneHolderAndFullService();
    }

    /** Guards against a VM that stands still from its start until after the loss. */
    @ParameterizedTest
    @ValueSource(longs = {1_500, 4_000, 10_000})
    void vmThatIsFrozenFromItsStartUntilTheLossWaits(long frozenMillis) {
        simulation.pause("c", frozenMillis);
        simulation.runFor(frozenMillis - 100);
        loseAllTablesBeforeTheStoreAnswers("c");
        assertOneHolderAndFullService();
    }

    /** Guards against an outage of all keys when a deployment starts on a store that has gone back before. */
    @Test
    void firstStartOnAStoreOfALaterEraServesAtOnce() {
        simulation.store.loseNewest(0);
        simulation.runFor(3_000);
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
    }

    /** Guards against keys that stay unserved if nobody tells that the deployment is new. */
    @Test
    void restartOnAStoreOfALaterEraServesAfterTheWait() {
        simulation.store.loseNewest(0);
        restart(VMS);
        simulation.runFor(LONGEST_WAIT_MILLIS - 4_000);
        assertThat(simulation.heldKeys()).isZero();
        assertOneHolderAndFullService();
    }
}
