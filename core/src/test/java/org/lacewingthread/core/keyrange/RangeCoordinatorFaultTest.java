package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServerStart;

/** Faults of single calls that could give a key two holders. */
class RangeCoordinatorFaultTest {
    private final RangeSimulation simulation = new RangeSimulation(new SplittableRandom(7));
    private final List<ServerStart> serverStarts = new ArrayList<>();
    private ServerStart drained;

    @BeforeEach
    void startThreeVmsAndFiveServers() {
        List.of("a", "b", "c").forEach(simulation::addVm);
        for (int i = 0; i < 5; i++) {
            serverStarts.add(simulation.addServer("s" + i, 1));
        }
        drained = serverStarts.get(0);
        simulation.runFor(3_000);
    }

    /** Guards against renewals by a leader that takes a move without an answer for refused and is then cut off. */
    @Test
    void cutOffLeaderDoesNotRenewTheFormerOwnerAfterAnUnansweredMove() {
        readSlowly("a", 100);
        setNextAppend("a", AppendFate.carriedOutWithoutAnswer(5));
        simulation.ready.remove(drained);
        runUntilRecorded();
        cutOff("a");
        onlyReaches("a", drained);
        cannotReach("b", drained);
        simulation.runFor(1_500);
        simulation.leaderCandidate = "b";
        simulation.runFor(15_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a move that is recorded as complete because no server is left to which its keys could go. */
    @Test
    void moveStaysRecordedAsMovingWhileNoServerIsReady() {
        simulation.unreachable.add(drained);
        simulation.ready.remove(drained);
        runUntilRecorded();
        simulation.ready.clear();
        simulation.runFor(500);
        simulation.stoppedVms.add("a");
        simulation.leaderCandidate = "b";
        simulation.runFor(5_000);
        simulation.stoppedVms.clear();
        simulation.ready.addAll(serverStarts.subList(1, serverStarts.size()));
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a renewal that is sent after an append without an answer and applied after the release. */
    @ParameterizedTest
    @ValueSource(longs = {1_300, 1_500, 1_900, 2_300})
    void renewalAfterAnUnansweredMoveDoesNotRestoreTheReleasedHold(long carriedOutAfterMillis) {
        setNextAppend("a", AppendFate.carriedOutWithoutAnswer(carriedOutAfterMillis));
        simulation.ready.remove(drained);
        long drainMillis = simulation.nowMillis;
        simulation.grantFate = (vm, grant) ->
                grant.server().equals(drained) && simulation.nowMillis >= drainMillis + AppendFate.TIMEOUT_MILLIS
                        ? Optional.of(GrantFate.appliedWithoutAnswer(2, 3_000, GrantFate.TIMEOUT_MILLIS))
                        : Optional.empty();
        simulation.runFor(15_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a renewal whose connection is reset at once, so that the release follows while it is under way. */
    @Test
    void resetRenewalAfterAnUnansweredMoveDoesNotRestoreTheReleasedHold() {
        setNextAppend("a", AppendFate.carriedOutWithoutAnswer(1_300));
        simulation.ready.remove(drained);
        long drainMillis = simulation.nowMillis;
        simulation.grantFate = (vm, grant) ->
                grant.server().equals(drained) && simulation.nowMillis >= drainMillis + AppendFate.TIMEOUT_MILLIS
                        ? Optional.of(GrantFate.appliedWithoutAnswer(1, 1_500, 4))
                        : Optional.empty();
        simulation.runFor(15_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against the rejection of a repeated append that is taken for the result of the first one. */
    @Test
    void rejectedRepeatDoesNotSettleAnUnansweredMove() {
        long drainMillis = simulation.nowMillis;
        AtomicInteger appends = new AtomicInteger();
        simulation.appendFate = (vm, record) -> {
            if (appends.getAndIncrement() == 0) {
                return Optional.of(AppendFate.carriedOutWithoutAnswer(3_000));
            }
            return simulation.nowMillis < drainMillis + 3_100 ? Optional.of(AppendFate.rejected()) : Optional.empty();
        };
        simulation.ready.remove(drained);
        simulation.grantFate = (vm, grant) ->
                grant.server().equals(drained) && simulation.nowMillis >= drainMillis + 2_200
                        ? Optional.of(GrantFate.appliedWithoutAnswer(2, 2_500, GrantFate.TIMEOUT_MILLIS))
                        : Optional.empty();
        simulation.runFor(15_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a release answer that clears the pending grant to the new owner, so that two are under way. */
    @ParameterizedTest
    @ValueSource(longs = {3_300, 3_400, 3_500, 3_600, 3_700, 3_800, 3_900, 4_000, 4_100, 4_200, 4_300, 4_400})
    void releaseAnswerAfterTheHoldExpiredStartsNoSecondGrant(long answeredAfterMillis) {
        simulation.ready.remove(drained);
        simulation.releaseFate = (vm, release) -> release.server().equals(drained)
                ? Optional.of(ReleaseFate.answered(answeredAfterMillis))
                : Optional.empty();
        runUntilRecorded();
        Set<ServerStart> targets = new HashSet<>();
        List<KeyRange> movedRanges = new ArrayList<>();
        for (RangeOwnership ownership : simulation.recorded().ranges(RangeSimulation.SERVICE)) {
            if (ownership.isMoving()) {
                targets.add(ownership.owner());
                movedRanges.add(ownership.range());
            }
        }
        AtomicInteger grants = new AtomicInteger();
        simulation.grantFate = (vm, grant) -> {
            if (!movedRanges.contains(grant.range()) || !targets.contains(grant.server())) {
                return Optional.empty();
            }
            return Optional.of(
                    grants.getAndIncrement() < movedRanges.size()
                            ? GrantFate.answered(2, 400)
                            : GrantFate.appliedWithoutAnswer(2, 2_500, GrantFate.TIMEOUT_MILLIS));
        };
        simulation.runFor(answeredAfterMillis + 360);
        simulation.ready.removeAll(targets);
        simulation.runFor(10_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against the timeout of an old release that starts a second renewal with the fence of the pending one. */
    @Test
    void releaseTimeoutAfterTheHoldExpiredStartsNoSecondRenewal() {
        simulation.ready.remove(drained);
        long drainMillis = simulation.nowMillis;
        simulation.releaseFate =
                (vm, release) -> release.server().equals(drained) ? Optional.of(ReleaseFate.lost()) : Optional.empty();
        runUntilRecorded();
        Set<ServerStart> targets = new HashSet<>();
        simulation.recorded().ranges(RangeSimulation.SERVICE).stream()
                .filter(RangeOwnership::isMoving)
                .forEach(moving -> targets.add(moving.owner()));
        simulation.grantFate = (vm, grant) -> targets.contains(grant.server())
                        && simulation.nowMillis >= drainMillis + 4_050
                        && simulation.nowMillis < drainMillis + 5_000
                ? Optional.of(GrantFate.appliedWithoutAnswer(2, 2_500, GrantFate.TIMEOUT_MILLIS))
                : Optional.empty();
        simulation.runFor(5_320);
        simulation.ready.removeAll(targets);
        simulation.runFor(10_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a former leader that counts its time from the answer of an append, not from its request. */
    @ParameterizedTest
    @ValueSource(longs = {0, 250, 500, 750})
    void slowAppendAnswerDoesNotProlongTheFormerLeadersTime(long offsetMillis) {
        simulation.runFor(offsetMillis);
        readSlowly("a", 2_000);
        long sentMillis = simulation.nowMillis + 10;
        setNextAppend("a", AppendFate.answered(5, 1_100));
        simulation.ready.remove(serverStarts.get(1));
        runUntilRecorded();
        onlyReaches("a", drained);
        cannotReach("b", drained);
        simulation.isolatedVms.add("a");
        simulation.leaderCandidate = "b";
        simulation.grantFate = (vm, grant) -> vm.equals("a") && simulation.nowMillis >= sentMillis + 10_300
                ? Optional.of(GrantFate.appliedWithoutAnswer(990, 990, GrantFate.TIMEOUT_MILLIS))
                : Optional.empty();
        simulation.runFor(1_110);
        simulation.disconnectedFromStore.add("a");
        simulation.runFor(20_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a leader that stood still and counts an old answer of the store as one of the present. */
    @Test
    void appendAnswerHandledAfterAPauseDoesNotProlongTheFormerLeadersTime() {
        readSlowly("a", 100);
        setNextAppend("a", AppendFate.answered(5, 100));
        simulation.ready.remove(serverStarts.get(1));
        runUntilRecorded();
        simulation.pause("a", 9_000);
        onlyReaches("a", drained);
        cannotReach("b", drained);
        simulation.leaderCandidate = "b";
        simulation.runFor(8_900);
        cutOff("a");
        simulation.runFor(20_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a leader that leads again in a term that it left, after its successor took it as stopped. */
    @Test
    void leaderThatLeftItsTermDoesNotLeadInItAgainAfterALateAppendAnswer() {
        readSlowly("a", 2_000);
        setNextAppend("a", AppendFate.answered(5, 1_000));
        simulation.ready.remove(serverStarts.get(1));
        runUntilRecorded();
        onlyReaches("a", drained);
        cannotReach("b", drained);
        simulation.leaderCandidate = "b";
        simulation.runFor(1_010);
        cutOff("a");
        simulation.runFor(20_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a process that leads in a term that was over before it learned that it had become leader. */
    @Test
    void processThatLearnsLateOfItsLeadershipDoesNotLeadInATermThatIsOver() {
        readSlowly("b", 2_000);
        setNextAppend("b", AppendFate.answered(5, 1_000));
        simulation.leaderCandidate = "b";
        long end = simulation.store.end();
        simulation.runUntil(() -> simulation.store.end() > end, 1_000);
        onlyReaches("b", drained);
        cannotReach("a", drained);
        cannotReach("c", drained);
        simulation.leaderCandidate = "c";
        simulation.runFor(1_010);
        cutOff("b");
        simulation.runFor(20_000);
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against keys that move before a grant is applied which only seems to be answered (review case 6, OWNER). */
    @Test
    void renewalThatIsAnsweredByAnotherCallAndAppliedLateLeavesOneHolder() {
        AtomicInteger renewals = new AtomicInteger();
        simulation.grantFate = (vm, grant) -> grant.server().equals(drained) && renewals.getAndIncrement() == 0
                ? Optional.of(GrantFate.answeredByAnother(2_500, 4))
                : Optional.empty();
        simulation.runUntil(() -> renewals.get() > 0, 2_000);
        simulation.ready.remove(drained);
        // Long before the grant in doubt expires.
        simulation.runFor(1_000);
        assertDrainedHoldsNoKey();
        simulation.runFor(9_000);
        assertDrainedHoldsNoKey();
        assertOneHolderAndFullServiceAfterFaults();
    }

    /** Guards against a leaving server that keeps its keys for good, since each of its answers is in doubt. */
    @Test
    void keysOfALeavingServerMoveWhileAllItsAnswersAreInDoubt() {
        simulation.grantFate = (vm, grant) ->
                grant.server().equals(drained) ? Optional.of(GrantFate.answeredByAnother(2, 4)) : Optional.empty();
        simulation.runFor(2_000);
        simulation.ready.remove(drained);
        simulation.runFor(12_000);
        assertDrainedHoldsNoKey();
        assertOneHolderAndFullServiceAfterFaults();
    }

    private void assertDrainedHoldsNoKey() {
        SimulatedKeyServer server = simulation.servers.get(drained);
        assertThat(IntStream.of(RangeSimulation.CHECKED_KEYS))
                .noneMatch(key -> server.holds(key, simulation.nowMillis));
    }

    /** Gives the next append of a VM a fate; later ones have the usual one. */
    private void setNextAppend(String vm, AppendFate fate) {
        AtomicInteger appends = new AtomicInteger();
        simulation.appendFate = (sender, record) ->
                sender.equals(vm) && appends.getAndIncrement() == 0 ? Optional.of(fate) : Optional.empty();
    }

    /** Delays a VM's reads of the table, so that it learns of its appends by their answers. */
    private void readSlowly(String vm, long delayMillis) {
        simulation.vms.get(vm).readDelayMillis = delayMillis;
        simulation.runFor(delayMillis + 10);
    }

    private void runUntilRecorded() {
        long end = simulation.store.end();
        assertThat(simulation.runUntil(() -> simulation.store.end() > end, 1_000))
                .isTrue();
    }

    private void cutOff(String vm) {
        simulation.disconnectedFromStore.add(vm);
        simulation.isolatedVms.add(vm);
    }

    private void onlyReaches(String vm, ServerStart server) {
        Set<ServerStart> others = new HashSet<>(serverStarts);
        others.remove(server);
        simulation.unreachableFrom.put(vm, others);
    }

    private void cannotReach(String vm, ServerStart server) {
        simulation.unreachableFrom.put(vm, Set.of(server));
    }

    private void assertOneHolderAndFullServiceAfterFaults() {
        simulation.appendFate = (vm, call) -> Optional.empty();
        simulation.grantFate = (vm, call) -> Optional.empty();
        simulation.releaseFate = (vm, call) -> Optional.empty();
        simulation.disconnectedFromStore.clear();
        simulation.isolatedVms.clear();
        simulation.unreachableFrom.clear();
        simulation.vms.values().forEach(vm -> vm.readDelayMillis = 0);
        simulation.runFor(20_000);
        assertThat(simulation.violations).as("keys with two holders").isEmpty();
        assertThat(simulation.prematureGrants).as("grants beside another hold").isEmpty();
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
    }
}
