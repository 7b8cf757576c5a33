package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/** Requests whose server changes while the leader's answer is on its way. */
class PermitOfAnotherServerTest {
    private static final ServerStart FIRST = new ServerStart(new ServerId("i-1"), 1);
    private static final ServerStart FIRST_RESTARTED = new ServerStart(new ServerId("i-1"), 2);
    private static final long NUMBER = 7;
    private static final long OVERDUE_MILLIS = 1_000;

    private final ServerLimits limits = new ServerLimits(new SplittableRandom(1));
    private final DispatchRequest request =
            new DispatchRequest(NUMBER, new ServiceId("orders"), OptionalInt.of(1), 0, 5_000, 9_000, Set.of());

    @BeforeEach
    void askForTheFirstServerAndThenForItsNextStart() {
        limits.onNamed(FIRST, new NamedLimit(1), 0);
        limits.onNamed(FIRST_RESTARTED, new NamedLimit(1), 0);
        limits.ask(request, FIRST, 0);
        limits.takeOverdue(OVERDUE_MILLIS);
        limits.ask(request, FIRST_RESTARTED, OVERDUE_MILLIS);
    }

    /** Guards against a late permit for one server, or for one start of it, that lets a request through to another. */
    @ParameterizedTest
    @EnumSource(PermitIssuer.Outcome.class)
    void lateAnswerForAnotherStartOfTheServerDecidesNothing(PermitIssuer.Outcome outcome) {
        assertThat(limits.onPermit(NUMBER, FIRST, outcome, OVERDUE_MILLIS)).isEmpty();
        assertThat(limits.isLimited(FIRST_RESTARTED)).isTrue();
        assertThat(limits.tryUsePermit(NUMBER, FIRST_RESTARTED, OVERDUE_MILLIS)).isFalse();
        assertThat(limits.onPermit(NUMBER, FIRST_RESTARTED, PermitIssuer.Outcome.GRANTED, OVERDUE_MILLIS))
                .contains(request);
        assertThat(limits.tryUsePermit(NUMBER, FIRST_RESTARTED, OVERDUE_MILLIS)).isTrue();
    }
}
