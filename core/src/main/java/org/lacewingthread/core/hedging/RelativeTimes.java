package org.lacewingthread.core.hedging;

import org.HdrHistogram.Histogram;

/** Recent response times of one service, each relative to the time that was expected. */
final class RelativeTimes {
    /** Fewest measured attempts; a quantile of fewer is too coarse to tell stalls from usual responses. */
    private static final int MIN_COUNT = 30;
    /** Measurements are dropped after one to two of these periods, so that a change of load is followed. */
    private static final long PERIOD_MILLIS = 10_000;
    /** Ratios are kept in hundredths, up to this factor. */
    private static final double MAX_RATIO = 100;

    private static final double SCALE = 100;

    private Histogram current = newHistogram();
    private Histogram previous = newHistogram();
    private long periodEndMillis = Long.MIN_VALUE;

    private static Histogram newHistogram() {
        return new Histogram(Math.round(MAX_RATIO * SCALE), 2);
    }

    void record(double ratio, long nowMillis) {
        rotate(nowMillis);
        current.recordValue(Math.round(Math.min(MAX_RATIO, Math.max(0, ratio)) * SCALE));
    }

    boolean hasEnough(long nowMillis) {
        rotate(nowMillis);
        return current.getTotalCount() + previous.getTotalCount() >= MIN_COUNT;
    }

    /** Returns the ratio that a share of the recent attempts did not exceed. */
    double quantile(double share) {
        Histogram both = current.copy();
        both.add(previous);
        return both.getValueAtPercentile(share * 100) / SCALE;
    }

    private void rotate(long nowMillis) {
        if (nowMillis < periodEndMillis) {
            return;
        }
        boolean missedPeriod = nowMillis - periodEndMillis >= PERIOD_MILLIS;
        previous = missedPeriod ? newHistogram() : current;
        current = newHistogram();
        periodEndMillis = nowMillis + PERIOD_MILLIS;
    }
}
