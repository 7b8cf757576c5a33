package org.lacewingthread.core.traffic;

import java.util.HashMap;
import java.util.Map;
import org.lacewingthread.core.id.ServiceId;

/**
 * Limits the extra attempts at each service, retries and second attempts, to a share of the first attempts at the same
 * service in a sliding window, plus a constant.
 *
 * <p>Answers the load in which some servers of a service break connections for seconds while the others answer: one entry
 * VM then needs many retries within a second, which its share of the first attempts of the last seconds covers. A token
 * bucket as small as one VM's part of the shared slack would fail them.
 *
 * <pre>{@code
 * ServiceRetryBudget budget = new ServiceRetryBudget(0.14, 1.5, 10_000);
 * budget.onFirstAttempt(service, nowMillis);
 * if (budget.tryTake(service, nowMillis)) { ... }   // send the request once more
 * }</pre>
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class ServiceRetryBudget {
    private final double ratio;
    private final long windowMillis;
    private final Map<ServiceId, AttemptWindow> windowByService = new HashMap<>();
    /** Limits the attempts at full owners of keys, which nobody else can make. */
    private final RetryBudget fullOwnerBudget;

    private double slack;
    private long denied;

    /**
     * Creates a budget without attempts.
     *
     * @param ratio extra attempts per first attempt, for example 0.1
     * @param slack extra attempts in a window beyond that
     * @param windowMillis length of the sliding window
     * @throws IllegalArgumentException if a value is negative, or the window shorter than {@link AttemptWindow#SLICES} ms
     */
    public ServiceRetryBudget(double ratio, double slack, long windowMillis) {
        if (ratio < 0 || slack < 0 || windowMillis < AttemptWindow.SLICES) {
            throw new IllegalArgumentException("retry budget of ratio " + ratio + ", slack " + slack + " and window "
                    + windowMillis + " ms is not valid; ratio and slack are at least 0, the window is at least "
                    + AttemptWindow.SLICES + " ms");
        }
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
        this.fullOwnerBudget = new RetryBudget(ratio, slack);
    }

    /** Changes the extra attempts in a window beyond the share of the first attempts. */
    public void setSlack(double newSlack) {
        if (newSlack < 0) {
            throw new IllegalArgumentException("retry budget of slack " + newSlack + " is negative");
        }
        slack = newSlack;
    }

    /** Counts the first attempt of a caller's request. */
    public void onFirstAttempt(ServiceId service, long nowMillis) {
        fullOwnerBudget.onFirstAttempt();
        window(service).countFirst(nowMillis);
    }

    /** Returns whether an extra attempt at a service is allowed now. */
    public boolean mayTake(ServiceId service, long nowMillis) {
        AttemptWindow window = window(service);
        return window.extras(nowMillis) + 1 <= slack + ratio * window.firsts(nowMillis);
    }

    /** Takes one extra attempt at a service; returns false if the budget is used up. */
    public boolean tryTake(ServiceId service, long nowMillis) {
        if (!mayTake(service, nowMillis)) {
            denied++;
            return false;
        }
        window(service).countExtra(nowMillis);
        return true;
    }

    /**
     * Takes one extra attempt at the owner of a key that rejected the request because it is full; returns false if the budget
     * is used up. Fewer are allowed than others, since they compete with the requests that wait for the same owner.
     */
    public boolean tryTakeAtFullOwner(ServiceId service, long nowMillis) {
        if (!mayTake(service, nowMillis) || !fullOwnerBudget.tryTake()) {
            denied++;
            return false;
        }
        window(service).countExtra(nowMillis);
        return true;
    }

    /** Returns how often an extra attempt was asked for and not allowed. */
    public long denied() {
        return denied;
    }

    private AttemptWindow window(ServiceId service) {
        return windowByService.computeIfAbsent(service, id -> new AttemptWindow(windowMillis));
    }
}
