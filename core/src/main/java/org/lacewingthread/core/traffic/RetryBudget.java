package org.lacewingthread.core.traffic;

/**
 * Bounds extra attempts to a share of the first attempts, so that retries and hedges can't multiply
 * an overload. Each first attempt earns a fraction of an extra one.
 */
public final class RetryBudget {
    private final double earnedPerRequestRatio;
    private final double maxSaved;
    private double tokens;

    /**
     * Creates a budget that starts full.
     *
     * @param earnedPerRequestRatio extra attempts earned by each first attempt, for example 0.1
     * @param maxSaved most extra attempts that can be saved up
     */
    public RetryBudget(double earnedPerRequestRatio, double maxSaved) {
        if (earnedPerRequestRatio < 0 || maxSaved < 0) {
            throw new IllegalArgumentException(
                    "retry budget of ratio " + earnedPerRequestRatio + " and size " + maxSaved + " is negative");
        }
        this.earnedPerRequestRatio = earnedPerRequestRatio;
        this.maxSaved = maxSaved;
        this.tokens = maxSaved;
    }

    /** Takes in a first attempt. */
    public void onFirstAttempt() {
        tokens = Math.min(maxSaved, tokens + earnedPerRequestRatio);
    }

    /** Takes one extra attempt from the budget if there is one. */
    public boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
