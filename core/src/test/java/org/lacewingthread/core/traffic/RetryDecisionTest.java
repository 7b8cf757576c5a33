package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.traffic.RetryDecision.FailedAttempt;

class RetryDecisionTest {
    @ParameterizedTest
    @CsvSource({
        // class, newest attempt, earlier may have run, time left, budget left, decision
        "NON_REPEATABLE, NEVER_SENT, false, true, true, RETRY",
        "NON_REPEATABLE, REFUSED_BEFORE_RUNNING, false, true, true, RETRY",
        "NON_REPEATABLE, MAY_HAVE_RUN, false, true, true, REPORT_UNKNOWN",
        "NON_REPEATABLE, NEVER_SENT, true, true, true, REPORT_UNKNOWN",
        "NON_REPEATABLE, REFUSED_BEFORE_RUNNING, true, true, true, REPORT_UNKNOWN",
        "NON_REPEATABLE, NEVER_SENT, false, false, true, REPORT_NOT_RUN",
        "NON_REPEATABLE, NEVER_SENT, false, true, false, REPORT_NOT_RUN",
        "LOOKUP, MAY_HAVE_RUN, false, true, true, RETRY",
        "LOOKUP, NEVER_SENT, true, true, true, RETRY",
        "LOOKUP, MAY_HAVE_RUN, false, false, true, REPORT_UNKNOWN",
        "LOOKUP, MAY_HAVE_RUN, false, true, false, REPORT_UNKNOWN",
        "DEFERRABLE, REFUSED_BEFORE_RUNNING, false, true, false, REPORT_NOT_RUN",
        "DEFERRABLE, MAY_HAVE_RUN, false, true, true, RETRY",
    })
    void decisionDependsOnWhetherTheRequestMayHaveRun(
            RequestClass requestClass,
            FailedAttempt newest,
            boolean earlierMayHaveRun,
            boolean timeLeft,
            boolean budgetLeft,
            RetryDecision expected) {
        RetryBudget budget = new RetryBudget(0.1, budgetLeft ? 1 : 0);
        assertThat(RetryDecision.decide(requestClass, newest, earlierMayHaveRun, 100, timeLeft ? 101 : 100, budget))
                .isEqualTo(expected);
    }

    @Test
    void budgetLimitsRetriesToAShareOfTheRequests() {
        RetryBudget budget = new RetryBudget(0.1, 5);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.onFirstAttempt();
            retries += budget.tryTake() ? 1 : 0;
        }
        assertThat(retries).isBetween(100, 105);
    }
}
