package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;

/** Tests that a coordinator reports takeovers and the start of its terms, and nothing else, to its listener. */
class RangeEventListenerTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final RangeLeaseTimes TIMES = new RangeLeaseTimes(4_000, 1_000, 10_000, 3_000, 0);
    /** Without a start time, so that its first accepted grant settles those of former leaders at once. */
    private static final ServerStart FIRST = new ServerStart(new ServerId("i-1"), 0);

    private static final ServerStart SECOND = new ServerStart(new ServerId("i-2"), 22);
    private static final Leader SELF = new Leader(new VmStart(new VmId("a"), 1), "10.0.0.1", 7_000);
    private static final Leader FORMER = new Leader(new VmStart(new VmId("b"), 2), "10.0.0.2", 7_000);

    private final List<String> reported = new ArrayList<>();
    private final RangeCoordinator coordinator =
            new RangeCoordinator(SELF, TIMES, new RecordingListener(), () -> 0, new FirstUse(false, 0));
    private long nowMillis = 1_000;
    private long logEnd = 3;

    private final class RecordingListener implements RangeEventListener {
        @Override
        public void onTakeover(
                ServiceId service,
                KeyRange range,
                ServerStart owner,
                ServerStart formerOwner,
                TakeoverReason reason,
                long fence,
                long formerHeldUntilMillis,
                long nowMillis) {
            reported.add("takeover " + service + " " + range + " " + formerOwner + ">" + owner + " " + reason
                    + " fence " + fence + " held until " + formerHeldUntilMillis + " at " + nowMillis);
        }

        @Override
        public void onTermStarted(
                long term, Set<Leader> formerLeaders, long formerLeadersStoppedByMillis, long nowMillis) {
            reported.add("term " + term + " former " + formerLeaders.size() + " stopped by "
                    + formerLeadersStoppedByMillis + " at " + nowMillis);
        }

        @Override
        public void onFormerLeadersStopped(StopEvidence evidence, long nowMillis) {
            reported.add("former leaders stopped by " + evidence + " at " + nowMillis);
        }
    }

    @BeforeEach
    void leadAfterAnotherLeader() {
        RangeTable table = RangeTable.EMPTY
                .withLeader(4, FORMER)
                .withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, FIRST)));
        coordinator.onTable(table, new LogPosition(0, logEnd), nowMillis);
        coordinator.setLeaderCandidate(true);
        recordProposal(step(Set.of(FIRST), Set.of(FIRST, SECOND)));
    }

    private List<CoordinatorAction> step(Set<ServerStart> ready, Set<ServerStart> registered) {
        coordinator.onStoreAnswer(0, nowMillis);
        Map<ServerStart, Double> capacity = Map.of(ready.iterator().next(), 2.0);
        ServiceView view = new ServiceView(capacity, registered, new KeyLoad(6_000, 2_000).profile(nowMillis));
        return coordinator.step(Map.of(ORDERS, view), nowMillis);
    }

    private static <T> T only(Class<T> type, List<CoordinatorAction> actions) {
        List<T> matching =
                actions.stream().filter(type::isInstance).map(type::cast).toList();
        assertThat(matching).hasSize(1);
        return matching.get(0);
    }

    private void recordProposal(List<CoordinatorAction> actions) {
        logEnd++;
        coordinator.onRecorded(
                only(CoordinatorAction.RecordTable.class, actions), AppendResult.recorded(logEnd), nowMillis);
    }

    /** Renews the first server's hold at 1,000 ms and begins to move its keys at 2,000 ms; returns the release. */
    private CoordinatorAction.Release beginMove() {
        coordinator.onFormerLeaderStopped(FORMER.process(), 5, nowMillis);
        List<CoordinatorAction> actions = step(Set.of(FIRST), Set.of(FIRST, SECOND));
        coordinator.onGrantAnswer(only(CoordinatorAction.Grant.class, actions).call(), GrantOutcome.GRANTED, nowMillis);
        recordProposal(actions);
        reported.clear();
        nowMillis = 1_500;
        recordProposal(step(Set.of(SECOND), Set.of(FIRST, SECOND)));
        return only(CoordinatorAction.Release.class, step(Set.of(SECOND), Set.of(FIRST, SECOND)));
    }

    @Test
    void termStartIsReportedWithFormerLeadersAndTheTimeBoundOfTheirGrants() {
        assertThat(reported).containsExactly("term 5 former 1 stopped by 11000 at 1000");
    }

    @Test
    void formerLeadersAreReportedAsStoppedWhenTheLastOneAnswers() {
        reported.clear();
        nowMillis = 1_400;
        coordinator.onFormerLeaderStopped(FORMER.process(), 5, nowMillis);
        coordinator.onFormerLeaderStopped(FORMER.process(), 5, nowMillis);
        assertThat(reported).containsExactly("former leaders stopped by ANSWER at 1400");
    }

    @Test
    void formerLeadersAreReportedAsStoppedOnceWhenTheTimeBoundPasses() {
        reported.clear();
        nowMillis = 10_990;
        step(Set.of(FIRST), Set.of(FIRST, SECOND));
        assertThat(reported).isEmpty();
        nowMillis = 11_000;
        step(Set.of(FIRST), Set.of(FIRST, SECOND));
        step(Set.of(FIRST), Set.of(FIRST, SECOND));
        assertThat(reported).containsExactly("former leaders stopped by TIME at 11000");
    }

    @Test
    void takeoverIsReportedAsReleasedWhenTheFormerOwnerReleases() {
        CoordinatorAction.Release release = beginMove();
        nowMillis = 1_600;
        coordinator.onReleaseAnswer(release.call(), ReleaseOutcome.RELEASED, Optional.empty(), nowMillis);
        assertThat(reported)
                .containsExactly("takeover orders 0-65535 i-1@0>i-2@22 RELEASED fence 5000003 held until 5000 at 1600");
    }

    @Test
    void takeoverIsReportedAsEndedWhenAnotherServerAnswersTheRelease() {
        CoordinatorAction.Release release = beginMove();
        coordinator.onReleaseAnswer(release.call(), ReleaseOutcome.SERVER_REPLACED, Optional.empty(), nowMillis);
        assertThat(reported).singleElement().asString().contains(" ENDED ");
    }

    /** Guards against a later start in the registry as proof that calls for the earlier one have no effect. */
    @Test
    void restartOfTheFormerOwnerStartsNoTakeoverBeforeTheKeysAreReleased() {
        CoordinatorAction.Release release = beginMove();
        step(Set.of(SECOND), Set.of(new ServerStart(FIRST.server(), 12), SECOND));
        assertThat(reported).isEmpty();
        coordinator.onReleaseAnswer(release.call(), ReleaseOutcome.RELEASED, Optional.empty(), nowMillis);
        assertThat(reported).singleElement().asString().contains(" RELEASED ");
    }

    @Test
    void takeoverByTheNextStartOfTheFormerOwnerIsReportedAsRestartedAtOnce() {
        ServerStart next = new ServerStart(FIRST.server(), 12);
        coordinator.onFormerLeaderStopped(FORMER.process(), 5, nowMillis);
        List<CoordinatorAction> actions = step(Set.of(FIRST), Set.of(FIRST));
        coordinator.onGrantAnswer(only(CoordinatorAction.Grant.class, actions).call(), GrantOutcome.GRANTED, nowMillis);
        recordProposal(actions);
        reported.clear();
        recordProposal(step(Set.of(next), Set.of(next)));
        step(Set.of(next), Set.of(next));
        assertThat(reported).singleElement().asString().contains(" i-1@0>i-1@12 RESTARTED ");
    }

    @Test
    void takeoverIsReportedAsExpiredWhenTheFormerOwnersHoldEndsUnanswered() {
        beginMove();
        nowMillis = 4_990;
        step(Set.of(SECOND), Set.of(FIRST, SECOND));
        assertThat(reported).isEmpty();
        nowMillis = 5_000;
        step(Set.of(SECOND), Set.of(FIRST, SECOND));
        assertThat(reported)
                .containsExactly("takeover orders 0-65535 i-1@0>i-2@22 EXPIRED fence 5000003 held until 5000 at 5000");
    }

    @Test
    void callAwaitsItsAnswerUntilItIsAnsweredOrItsTermEnds() {
        CoordinatorAction.Release release = beginMove();
        assertThat(coordinator.awaitsAnswer(release.call())).isTrue();
        coordinator.onNewTerm(6);
        assertThat(coordinator.awaitsAnswer(release.call())).isFalse();
        assertThat(coordinator.awaitsAnswer(99)).isFalse();
    }
}
