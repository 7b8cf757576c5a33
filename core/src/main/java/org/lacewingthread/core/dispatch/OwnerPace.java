package org.lacewingthread.core.dispatch;

/**
 * Interval between the requests that this entry VM sends to the owner of a key, such that the queue of the owner stays short.
 * Follows the loads that the owner reports rather than their age, since a VM among many gets a report in several seconds only.
 */
final class OwnerPace {
    /** Requests queued beyond the slots from which on a queue is long; about a quarter of a usual queue. */
    private static final int LONG_QUEUE = 3;
    /** Factor of the interval when no request is queued. */
    private static final double DECAY = 0.5;
    /** Interval after the first report of a long queue, as a multiple of the fair one; VMs rarely all have requests. */
    private static final double FIRST_RATIO = 0.5;
    /** Factor of the interval when a request is lost. */
    private static final double GROWTH = 1.5;
    /** Longest interval, as a multiple of the one with which all VMs together use up the owner's rate. */
    private static final double MAX_RATIO = 4;

    private double intervalMillis;

    /** Returns the interval; 0 if requests needn't be spaced. */
    double intervalMillis() {
        return intervalMillis;
    }

    /**
     * Applies a load that the owner reported.
     *
     * @param total requests at the owner
     * @param fairIntervalMillis interval with which all VMs together use up the owner's rate
     * @param serviceMillis time in which a slot serves a request; spaces shorter than its part are none
     */
    void onReported(int total, int slots, double fairIntervalMillis, double serviceMillis) {
        double ratio = (double) total / (slots + LONG_QUEUE);
        if (ratio > 1) {
            set(Math.max(fairIntervalMillis * FIRST_RATIO, intervalMillis * ratio), fairIntervalMillis);
        } else if (total <= slots) {
            double shorter = intervalMillis * DECAY;
            intervalMillis = shorter < serviceMillis / slots ? 0 : shorter;
        }
    }

    /** Records that a request got no answer in the time of a full queue. */
    void onLost(double fairIntervalMillis) {
        set(Math.max(fairIntervalMillis, intervalMillis) * GROWTH, fairIntervalMillis);
    }

    private void set(double millis, double fairIntervalMillis) {
        intervalMillis = Math.min(millis, fairIntervalMillis * MAX_RATIO);
    }
}
