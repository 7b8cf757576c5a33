package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

class PermitIssuerTest {
    private static final ServerStart FIRST = new ServerStart(new ServerId("s1"), 1);
    private static final ServerStart SECOND = new ServerStart(new ServerId("s2"), 1);

    private final PermitIssuer issuer = new PermitIssuer();
    private long lastNumber;

    private PermitIssuer.Permit ask(ServerStart server, double perSecond, int priority, long nowMillis) {
        return issuer.issue(new PermitRequest(++lastNumber, server, new NamedLimit(perSecond), 0, priority), nowMillis);
    }

    private PermitIssuer.Outcome outcome(int priority, long nowMillis) {
        return ask(FIRST, 2, priority, nowMillis).outcome();
    }

    @Test
    void refusedRequestIsToldWhenAPermitWillBeLeft() {
        assertThat(ask(FIRST, 2, 0, 0).outcome()).isEqualTo(PermitIssuer.Outcome.GRANTED);
        assertThat(ask(FIRST, 2, 0, 0)).isEqualTo(new PermitIssuer.Permit(PermitIssuer.Outcome.REFUSED, 500));
        assertThat(ask(FIRST, 2, 0, 0).retryAfterMillis()).isEqualTo(1_000);
        assertThat(ask(FIRST, 2, 0, 500).outcome()).isEqualTo(PermitIssuer.Outcome.GRANTED);
    }

    /** Guards against urgent requests that find the limit used up by others. */
    @Test
    void lessUrgentRequestLeavesAPermitWhileUrgentOnesAsk() {
        assertThat(outcome(0, 0)).isEqualTo(PermitIssuer.Outcome.GRANTED);
        assertThat(outcome(1, 500)).isEqualTo(PermitIssuer.Outcome.REFUSED);
        assertThat(outcome(0, 500)).isEqualTo(PermitIssuer.Outcome.GRANTED);
    }

    /** Guards against starving less urgent requests while urgent ones alone exceed the limit. */
    @Test
    void lessUrgentRequestsGetSomePermits() {
        int granted = 0;
        for (long nowMillis = 0; nowMillis < 20_000; nowMillis += 100) {
            outcome(0, nowMillis);
            granted += outcome(2, nowMillis + 50) == PermitIssuer.Outcome.GRANTED ? 1 : 0;
        }
        assertThat(granted).isBetween(5, 20);
    }

    @Test
    void limitThatEndedIsInForceAgainWhenItIsNamedLater() {
        outcome(0, 0);
        issuer.onLimitEnded(FIRST, 100);
        assertThat(issuer.issue(new PermitRequest(9, FIRST, new NamedLimit(2), 150, 0), 200)
                        .outcome())
                .isEqualTo(PermitIssuer.Outcome.NOT_LIMITED);
        assertThat(outcome(0, 600)).isEqualTo(PermitIssuer.Outcome.GRANTED);
        assertThat(outcome(0, 600)).isEqualTo(PermitIssuer.Outcome.REFUSED);
    }

    /** Guards against moving keys to servers that are about to name a limit too. */
    @Test
    void limitsThatAreNamedTogetherAreReportedTogether() {
        assertThat(issuer.settledLimitsPerSecond(0)).isEmpty();
        ask(FIRST, 2, 0, 100);
        assertThat(issuer.settledLimitsPerSecond(300)).isEmpty();
        ask(SECOND, 3, 0, 400);
        assertThat(issuer.settledLimitsPerSecond(800)).isEmpty();
        assertThat(issuer.settledLimitsPerSecond(900)).containsOnlyKeys(FIRST, SECOND);
        issuer.onLimitEnded(FIRST, 1_000);
        assertThat(issuer.settledLimitsPerSecond(1_000)).containsOnlyKeys(SECOND);
    }
}
