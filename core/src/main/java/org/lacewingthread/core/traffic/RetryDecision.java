package org.lacewingthread.core.traffic;

import org.lacewingthread.core.config.RequestClass;

/** Decision after a failed attempt: retry, or report the failure to the caller. */
public enum RetryDecision {
    /** Send the request again. */
    RETRY,
    /** Report to the caller that the request did not run. */
    REPORT_NOT_RUN,
    /** Report to the caller that the outcome is unknown. */
    REPORT_UNKNOWN;

    /** Knowledge about whether a failed attempt ran. */
    public enum FailedAttempt {
        /** No byte of the request left this VM. */
        NEVER_SENT(true),
        /** The server stated that it refused the request before running it. */
        REFUSED_BEFORE_RUNNING(true),
        /** The request was sent and no complete response arrived. */
        MAY_HAVE_RUN(false);

        private final boolean provablyNotRun;

        FailedAttempt(boolean provablyNotRun) {
            this.provablyNotRun = provablyNotRun;
        }

        /** Returns whether the attempt provably had no effect and never will. */
        public boolean isProvablyNotRun() {
            return provablyNotRun;
        }
    }

    /**
     * Decides whether to retry after a failed attempt.
     *
     * @param requestClass class of the request
     * @param newest knowledge about the latest attempt
     * @param earlierMayHaveRun whether an earlier attempt of the request may have run
     * @param nowMillis current monotonic time
     * @param latestSendMillis time from which another attempt could not be answered in time
     * @param budget retry budget; a token is taken only if a retry is otherwise allowed
     */
    public static RetryDecision decide(
            RequestClass requestClass,
            FailedAttempt newest,
            boolean earlierMayHaveRun,
            long nowMillis,
            long latestSendMillis,
            RetryBudget budget) {
        boolean provablyNotRun = newest.isProvablyNotRun() && !earlierMayHaveRun;
        RetryDecision report = provablyNotRun ? REPORT_NOT_RUN : REPORT_UNKNOWN;
        if (!provablyNotRun && !requestClass.mayRepeat()) {
            return report;
        }
        if (nowMillis >= latestSendMillis) {
            return report;
        }
        return budget.tryTake() ? RETRY : report;
    }
}
