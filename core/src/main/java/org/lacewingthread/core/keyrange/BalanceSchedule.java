package org.lacewingthread.core.keyrange;

/** Decides when ranges may move to balance load: at intervals, and again at once after a plan that moved some. */
final class BalanceSchedule {
    static final long INTERVAL_MILLIS = 250;
    /** Silence of the store from which ranges don't move to balance load; more than a waiting read takes. */
    private static final long MAX_STORE_SILENCE_MILLIS = 1_300;

    private long nextPlanMillis;

    /** Returns whether ranges may move now. */
    boolean isDue(long storeSilenceMillis, long nowMillis) {
        return nowMillis >= nextPlanMillis && storeSilenceMillis <= MAX_STORE_SILENCE_MILLIS;
    }

    /**
     * Records that a plan was made.
     *
     * @param balanced whether ranges were allowed to move to balance load
     * @param changed whether the plan changes anything
     */
    void onPlanned(boolean balanced, boolean changed, long nowMillis) {
        if (balanced && !changed) {
            nextPlanMillis = nowMillis + INTERVAL_MILLIS;
        }
    }
}
