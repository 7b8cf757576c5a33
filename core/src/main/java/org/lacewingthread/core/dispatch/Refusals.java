package org.lacewingthread.core.dispatch;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** Refusals with the delays after which callers come back. */
final class Refusals {
    /** A request that waits for an owner or for the registry is refused this long before its target time. */
    private static final long WAITING_MARGIN_MILLIS = 100;
    /** Bounds of the retry delay given to a refused caller. */
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    static final long MAX_RETRY_AFTER_MILLIS = 1_000;
    /** Retry delay when the key has no owner, or its owner can't be reached; about the duration of a range move. */
    private static final long NO_OWNER_RETRY_AFTER_MILLIS = 300;
    /** Retry delay of a request to a limited server while the leader doesn't answer; about the time of a new leader. */
    private static final long NO_PERMIT_RETRY_AFTER_MILLIS = 700;
    /** Longest retry delay of a request for a key of a limited server; about the time until the key has moved away. */
    private static final long MAX_LIMITED_RETRY_AFTER_MILLIS = 500;
    /** Largest random addition to the retry delay of a limited request, as a share of it. */
    private static final double LIMITED_RETRY_SPREAD = 0.5;

    /** Largest random addition to the retry delay of an overloaded server, as a share of it, so that callers don't return at once. */
    private static final double OVERLOADED_RETRY_SPREAD = 1;

    /** The same for a rest, which may be long. */
    private static final double RESTING_RETRY_SPREAD = 0.2;

    private final RandomGenerator random;

    Refusals(RandomGenerator random) {
        this.random = random;
    }

    /** Refuses a request that nobody can take at the moment, unless it may still wait for a change. */
    static Choice unlessMayWait(DispatchRequest request, RefusalCause cause, long nowMillis) {
        boolean mayWait = nowMillis < request.targetAtMillis() - WAITING_MARGIN_MILLIS;
        return mayWait ? new Choice.Wait(Optional.empty(), cause) : atOnce(request, cause);
    }

    /** Refuses a request because no server can take it at the moment. */
    static Choice atOnce(DispatchRequest request, RefusalCause cause) {
        return new Choice.Refuse(refuse(request, cause));
    }

    private static Decision.Refuse refuse(DispatchRequest request, RefusalCause cause) {
        return refuse(request, cause, NO_OWNER_RETRY_AFTER_MILLIS);
    }

    static Decision.Refuse refuse(DispatchRequest request, RefusalCause cause, long retryAfterMillis) {
        long boundedMillis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, retryAfterMillis));
        return new Decision.Refuse(request, cause, boundedMillis);
    }

    /**
     * Refuses a request that would wait too long; callers come back spread over as much time again as the work ahead takes.
     *
     * @param waitMillis time until there is room
     */
    Decision.Refuse overloaded(DispatchRequest request, double waitMillis) {
        double boundedMillis =
                Math.min(MAX_RETRY_AFTER_MILLIS / (1 + OVERLOADED_RETRY_SPREAD), Math.max(0, waitMillis));
        double factor = 1 + OVERLOADED_RETRY_SPREAD * random.nextDouble();
        return refuse(request, RefusalCause.OVERLOADED, Math.round(boundedMillis * factor));
    }

    /** Refuses a request to a limited server with a delay that spreads the callers who come back. */
    Decision.Refuse limited(DispatchRequest request, long retryAfterMillis) {
        return spread(request, Math.min(MAX_LIMITED_RETRY_AFTER_MILLIS, retryAfterMillis));
    }

    /** Refuses a request to a limited server because nobody could permit it. */
    Decision.Refuse withoutPermit(DispatchRequest request) {
        return spread(request, NO_PERMIT_RETRY_AFTER_MILLIS);
    }

    /** Refuses a request to a resting server; callers come back spread over a while after the rest. */
    Decision.Refuse resting(DispatchRequest request, long remainingMillis) {
        double factor = 1 + RESTING_RETRY_SPREAD * random.nextDouble();
        return new Decision.Refuse(
                request, RefusalCause.RESTING, Math.max(MIN_RETRY_AFTER_MILLIS, Math.round(remainingMillis * factor)));
    }

    private Decision.Refuse spread(DispatchRequest request, long retryAfterMillis) {
        double factor = 1 + LIMITED_RETRY_SPREAD * random.nextDouble();
        return refuse(request, RefusalCause.LIMITED, Math.round(retryAfterMillis * factor));
    }
}
