package org.lacewingthread.daemon.dispatch;

import org.lacewingthread.core.traffic.RetryBudget;
import org.lacewingthread.core.traffic.RetryDecision;

/** Decides when a server dispatcher retries a failed request, and when it hedges a late one with a second copy. */
final class ResendPolicy {
    private static final int MAX_ATTEMPTS = 3;
    private static final long MIN_LATE_MILLIS = 30;
    private static final double RETRIES_PER_REQUEST_RATIO = 0.1;
    private static final double MAX_SAVED_RETRIES = 10;
    private static final double HEDGES_PER_REQUEST_RATIO = 0.05;
    private static final double MAX_SAVED_HEDGES = 5;

    private final RetryBudget retryBudget = new RetryBudget(RETRIES_PER_REQUEST_RATIO, MAX_SAVED_RETRIES);
    private final RetryBudget hedgeBudget = new RetryBudget(HEDGES_PER_REQUEST_RATIO, MAX_SAVED_HEDGES);

    void onFirstAttempt() {
        retryBudget.onFirstAttempt();
        hedgeBudget.onFirstAttempt();
    }

    /** Decides what follows a failed attempt of a request that has no other attempt awaiting a response. */
    RetryDecision decide(
            PendingRequest pending,
            RetryDecision.FailedAttempt known,
            boolean serverAnswers,
            double serviceMillis,
            long nowMillis) {
        boolean mayTry = pending.attemptCount() < MAX_ATTEMPTS && serverAnswers && !pending.isEnded();
        long latestSendMillis = pending.request().deadlineMillis() - Math.round(serviceMillis);
        return RetryDecision.decide(
                pending.request().requestClass(),
                known,
                pending.mayHaveRun(),
                nowMillis,
                mayTry ? latestSendMillis : Long.MIN_VALUE,
                retryBudget);
    }

    /** Returns whether an unanswered attempt is late enough for a second copy to be sent. */
    boolean shouldHedge(DispatchAttempt attempt, double highServiceMillis, long nowMillis) {
        PendingRequest pending = attempt.pending();
        return pending.request().requestClass().mayHedge()
                && pending.attemptCount() == 1
                && !pending.isEnded()
                && isLate(attempt, 2 * highServiceMillis, nowMillis);
    }

    /** Takes one second copy from the hedge budget; returns whether the budget allowed it. */
    boolean tryTakeHedge() {
        return hedgeBudget.tryTake();
    }

    /** Returns whether an attempt was sent at least {@code boundMillis} and {@link #MIN_LATE_MILLIS} ago. */
    static boolean isLate(DispatchAttempt attempt, double boundMillis, long nowMillis) {
        return nowMillis - attempt.sentMillis() >= Math.max(MIN_LATE_MILLIS, boundMillis);
    }
}
