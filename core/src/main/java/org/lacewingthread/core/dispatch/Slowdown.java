package org.lacewingthread.core.dispatch;

/**
 * How slow a server is at the moment, relative to its smoothed service time. That time already contains the usual mix of
 * slow and fast moments, so each reported figure is related to the average of the figures that came with its samples.
 */
final class Slowdown {
    /** Time constant of the decay towards the usual speed; servers change their speed about every 400 ms. */
    private static final double DECAY_MILLIS = 400;
    /** Largest figure that counts, so that one absurd report can't keep a server out of use for seconds. */
    private static final double MAX_SLOWDOWN = 10;

    private double usual = 1;
    private double newest = 1;
    private long newestAtMillis = Long.MIN_VALUE / 2;

    /** Records a reported figure; 1 is the usual speed, 3 is three times as slow. */
    void onReported(double reported, long nowMillis) {
        newest = Math.min(MAX_SLOWDOWN, reported);
        newestAtMillis = nowMillis;
    }

    /** Records that the sample of a service time with the newest figure enters the average with a weight. */
    void onSample(double weight) {
        usual += weight * (newest - usual);
    }

    /** Returns the factor of the smoothed service time. */
    double factor(long nowMillis) {
        double ageMillis = Math.max(0, nowMillis - newestAtMillis);
        return 1 + (newest / usual - 1) * Math.exp(-ageMillis / DECAY_MILLIS);
    }
}
