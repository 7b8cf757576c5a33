package org.lacewingthread.core.hedging;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.traffic.RetryBudget;

/**
 * Decides when a second server is asked to run a repeatable request whose first server is overdue, and limits the extra
 * work. An attempt is overdue when it has taken longer, relative to the time that was expected of its server when it was
 * sent, than the set quantile of the recent attempts at the same service. Comparing with the expected time instead of with a fixed delay keeps
 * slow but steady servers, and those with a known queue, from being hedged all the time.
 *
 * <p>Answers the load in which a few servers stall for some hundred milliseconds while others are idle.
 *
 * <pre>{@code
 * HedgePolicy policy = new HedgePolicy(new HedgeSettings(0.95, 0.05));
 * policy.onFirstAttempt();
 * policy.onAnswered(service, expectedMillis, elapsedMillis, nowMillis);
 * OptionalLong afterMillis = policy.hedgeAfterMillis(service, expectedMillis, nowMillis);
 * if (afterMillis.isPresent() && elapsedMillis > afterMillis.getAsLong() && policy.tryTake()) { ... }
 * }</pre>
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class HedgePolicy {
    /** Hedges that can be saved up while none is needed; a stall of one server affects few requests of one entry VM. */
    private static final double MAX_SAVED_HEDGES = 3;
    /** Shortest delay; below it the second attempt would end after the first one. */
    private static final long MIN_DELAY_MILLIS = 20;

    private final HedgeSettings settings;
    private final RetryBudget budget;
    private final Map<ServiceId, RelativeTimes> timesByService = new HashMap<>();

    /** Creates a policy without measurements; it allows no hedge of a service until enough attempts were measured. */
    public HedgePolicy(HedgeSettings settings) {
        this.settings = settings;
        this.budget = new RetryBudget(settings.maxExtraRatio(), MAX_SAVED_HEDGES);
    }

    /** Counts a caller's request; each adds the set share of a hedge to the budget. */
    public void onFirstAttempt() {
        budget.onFirstAttempt();
    }

    /**
     * Records an attempt that a server answered.
     *
     * @param expectedMillis time that was expected when it was sent
     * @param elapsedMillis time that it took
     */
    public void onAnswered(ServiceId service, long expectedMillis, double elapsedMillis, long nowMillis) {
        timesByService
                .computeIfAbsent(service, id -> new RelativeTimes())
                .record(elapsedMillis / Math.max(1, expectedMillis), nowMillis);
    }

    /**
     * Returns the time from which an attempt counts as overdue.
     *
     * @param expectedMillis time that was expected of its server when it was sent
     * @return time since the attempt was sent, in milliseconds; empty while too few attempts at the service were measured
     */
    public OptionalLong hedgeAfterMillis(ServiceId service, long expectedMillis, long nowMillis) {
        RelativeTimes times = timesByService.get(service);
        if (times == null || !times.hasEnough(nowMillis)) {
            return OptionalLong.empty();
        }
        double ratio = times.quantile(settings.quantile());
        return OptionalLong.of(
                Math.max(MIN_DELAY_MILLIS, Math.round(Math.max(1, expectedMillis) * Math.max(1, ratio))));
    }

    /** Returns whether the budget allows a hedge now. */
    public boolean mayTake() {
        return budget.mayTake();
    }

    /** Takes one hedge from the budget; returns false if the set share of extra work is used up. */
    public boolean tryTake() {
        return budget.tryTake();
    }
}
