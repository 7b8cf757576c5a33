package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

class GrantLedgerTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServerStart A = new ServerStart(new ServerId("a"), 1);
    private static final ServerStart B = new ServerStart(new ServerId("b"), 1);
    /** The next start of {@link #A}. */
    private static final ServerStart A_RESTARTED = new ServerStart(new ServerId("a"), 2);
    /** A server whose starts have different ids. */
    private static final ServerStart C = new ServerStart(new ServerId("c"), 0);

    private static final KeyRange KEYS = new KeyRange(100, 199);
    private static final long DELIVERY_MILLIS = 1_200;
    private static final long HOLD_MILLIS = 4_000;
    private static final long MARGIN_MILLIS = 120;

    private final GrantLedger ledger =
            new GrantLedger(new RangeLeaseTimes(HOLD_MILLIS, 1_000, 10_000, 3_000, 0.03), () -> 0);

    private void send(long call, ServerStart server, KeyRange range, long fence) {
        send(call, server, range, fence, 0);
    }

    private void send(long call, ServerStart server, KeyRange range, long fence, long nowMillis) {
        ledger.onGrantSent(call, ORDERS, server, range, fence, HOLD_MILLIS, nowMillis, nowMillis + DELIVERY_MILLIS);
    }

    private boolean mayBeHeldByOthers(KeyRange range, ServerStart server, long nowMillis) {
        return ledger.mayBeHeldByOthers(ORDERS, range, server, ended -> false, nowMillis);
    }

    @Test
    void pendingGrantBlocksOtherServersUntilItsCallEnds() {
        send(1, A, KEYS, 1);
        assertThat(mayBeHeldByOthers(KEYS, B, 1_000_000)).isTrue();
        assertThat(mayBeHeldByOthers(KEYS, A, 0)).isFalse();
        assertThat(mayBeHeldByOthers(new KeyRange(200, 300), B, 0)).isFalse();
    }

    @Test
    void acceptedGrantBlocksOtherServersForItsHoldAfterTheAnswer() {
        send(1, A, KEYS, 1);
        ledger.onGrantAnswer(1, A, GrantOutcome.GRANTED, 500);
        assertThat(mayBeHeldByOthers(KEYS, B, 500 + HOLD_MILLIS + MARGIN_MILLIS - 1))
                .isTrue();
        assertThat(mayBeHeldByOthers(KEYS, B, 500 + HOLD_MILLIS + MARGIN_MILLIS))
                .isFalse();
    }

    @Test
    void refusedGrantBlocksNobody() {
        send(1, A, KEYS, 1);
        ledger.onGrantAnswer(1, A, GrantOutcome.FENCED, 500);
        assertThat(mayBeHeldByOthers(KEYS, B, 500)).isFalse();
    }

    /** Guards against a wait for grants to a crashed server that never left this VM. */
    @Test
    void grantThatWasNeverSentBlocksNobody() {
        send(1, A, KEYS, 1);
        ledger.onGrantAnswer(1, A, GrantOutcome.NOT_SENT, 400);
        assertThat(mayBeHeldByOthers(KEYS, B, 400)).isFalse();
    }

    @Test
    void releaseOfSomeKeysFreesOnlyThese() {
        send(1, A, KEYS, 1);
        ledger.onGrantAnswer(1, A, GrantOutcome.GRANTED, 500);
        ledger.onReleased(ORDERS, A, new KeyRange(120, 129), ledger.settlementMark());
        assertThat(mayBeHeldByOthers(new KeyRange(120, 129), B, 600)).isFalse();
        assertThat(mayBeHeldByOthers(new KeyRange(100, 119), B, 600)).isTrue();
        assertThat(mayBeHeldByOthers(new KeyRange(130, 199), B, 600)).isTrue();
    }

    /** Guards against an unanswered grant that is applied after the release and restores the hold. */
    @Test
    void releaseDoesNotFreeKeysOfAnUnansweredGrant() {
        send(1, A, KEYS, 1);
        ledger.onGrantAnswer(1, A, GrantOutcome.UNKNOWN, 400);
        ledger.onReleased(ORDERS, A, KEYS, ledger.settlementMark());
        long latestEndMillis = 1_200 + HOLD_MILLIS + MARGIN_MILLIS;
        assertThat(mayBeHeldByOthers(KEYS, B, latestEndMillis - 1)).isTrue();
        assertThat(mayBeHeldByOthers(KEYS, B, latestEndMillis)).isFalse();
    }

    @Test
    void releaseDoesNotFreeKeysOfAGrantAnsweredAfterItWasSent() {
        send(1, A, KEYS, 1);
        long mark = ledger.settlementMark();
        ledger.onGrantAnswer(1, A, GrantOutcome.GRANTED, 400);
        ledger.onReleased(ORDERS, A, KEYS, mark);
        assertThat(mayBeHeldByOthers(KEYS, B, 500)).isTrue();
    }

    @Test
    void unansweredGrantIsSettledByAnAcceptedOneWithAHigherFence() {
        send(1, C, KEYS, 1);
        ledger.onGrantAnswer(1, C, GrantOutcome.UNKNOWN, 400);
        assertThat(ledger.isConfirmed(ORDERS, C, KEYS, 400)).isFalse();
        send(2, C, KEYS, 2);
        ledger.onGrantAnswer(2, C, GrantOutcome.GRANTED, 600);
        assertThat(ledger.isConfirmed(ORDERS, C, KEYS, 600)).isTrue();
        ledger.onReleased(ORDERS, C, KEYS, ledger.settlementMark());
        assertThat(mayBeHeldByOthers(KEYS, B, 700)).isFalse();
    }

    @Test
    void unansweredGrantOfMoreKeysStaysUnsettledOutsideTheAcceptedOnes() {
        send(1, C, KEYS, 1);
        ledger.onGrantAnswer(1, C, GrantOutcome.UNKNOWN, 400);
        send(2, C, new KeyRange(100, 149), 2);
        ledger.onGrantAnswer(2, C, GrantOutcome.GRANTED, 600);
        assertThat(ledger.isConfirmed(ORDERS, C, new KeyRange(100, 149), 600)).isTrue();
        assertThat(ledger.isConfirmed(ORDERS, C, new KeyRange(150, 199), 600)).isFalse();
    }

    /** Guards against a restart between an accepted grant and the arrival of an older one at the next start. */
    @Test
    void unansweredGrantThatMayArriveAtTheNextStartIsSettledOnlyByOneSentAfterItsArrival() {
        send(1, A, KEYS, 1);
        ledger.onGrantAnswer(1, A, GrantOutcome.UNKNOWN, 400);
        send(2, A, KEYS, 2, DELIVERY_MILLIS - 1);
        ledger.onGrantAnswer(2, A, GrantOutcome.GRANTED, DELIVERY_MILLIS);
        ledger.onReleased(ORDERS, A, KEYS, ledger.settlementMark());
        assertThat(mayBeHeldByOthers(KEYS, B, DELIVERY_MILLIS)).isTrue();
        send(3, A, KEYS, 3, DELIVERY_MILLIS);
        ledger.onGrantAnswer(3, A, GrantOutcome.GRANTED, DELIVERY_MILLIS + 10);
        assertThat(ledger.isConfirmed(ORDERS, A, KEYS, DELIVERY_MILLIS + 10)).isTrue();
        ledger.onReleased(ORDERS, A, KEYS, ledger.settlementMark());
        assertThat(mayBeHeldByOthers(KEYS, B, DELIVERY_MILLIS + 20)).isFalse();
    }

    /** Guards against a takeover while a grant for the former start may take effect at the next one. */
    @Test
    void grantForOneStartBlocksOtherServersAndNotTheNextStart() {
        send(1, A, KEYS, 1);
        assertThat(mayBeHeldByOthers(KEYS, B, 0)).isTrue();
        assertThat(mayBeHeldByOthers(KEYS, A_RESTARTED, 0)).isFalse();
        ledger.onGrantAnswer(1, A, GrantOutcome.GRANTED, 500);
        ledger.onReleased(ORDERS, A_RESTARTED, KEYS, ledger.settlementMark());
        assertThat(mayBeHeldByOthers(KEYS, B, 500)).isFalse();
    }

    /** Guards against an answer of another server at the old address that frees keys of the next start elsewhere. */
    @Test
    void endOfOneStartLeavesTheGrantsOfTheNextOne() {
        send(1, A, KEYS, 1);
        send(2, A_RESTARTED, new KeyRange(150, 160), 2);
        ledger.onGrantAnswer(1, A, GrantOutcome.SERVER_REPLACED, 100);
        assertThat(mayBeHeldByOthers(new KeyRange(100, 149), B, 100)).isFalse();
        assertThat(mayBeHeldByOthers(KEYS, B, 100)).isTrue();
    }

    @Test
    void grantsOfFormerLeadersBlockOtherServersUntilTheseHaveStopped() {
        ledger.addGrantOfFormerLeaders(ORDERS, A, KEYS, Optional.empty());
        assertThat(mayBeHeldByOthers(KEYS, B, 1_000_000)).isTrue();
        ledger.onFormerLeadersStopped(2_000);
        assertThat(mayBeHeldByOthers(KEYS, B, 2_000 + HOLD_MILLIS)).isTrue();
        assertThat(mayBeHeldByOthers(KEYS, B, 2_000 + HOLD_MILLIS + MARGIN_MILLIS))
                .isFalse();
    }

    @Test
    void endedServerBlocksNobody() {
        send(1, A, KEYS, 1);
        assertThat(ledger.mayBeHeldByOthers(ORDERS, KEYS, B, A::equals, 0)).isFalse();
        ledger.onGrantAnswer(1, A, GrantOutcome.SERVER_REPLACED, 100);
        assertThat(mayBeHeldByOthers(KEYS, B, 100)).isFalse();
    }

    @Test
    void clearedLedgerBlocksNobody() {
        send(1, A, KEYS, 1);
        ledger.addGrantOfFormerLeaders(ORDERS, A, KEYS, Optional.empty());
        ledger.clear();
        assertThat(mayBeHeldByOthers(KEYS, B, 0)).isFalse();
    }

    @Test
    void expiredGrantsAreRemoved() {
        send(1, A, KEYS, 1);
        ledger.onGrantAnswer(1, A, GrantOutcome.GRANTED, 500);
        ledger.removeExpired(500 + HOLD_MILLIS + MARGIN_MILLIS);
        assertThat(mayBeHeldByOthers(KEYS, B, 0)).isFalse();
    }
}
