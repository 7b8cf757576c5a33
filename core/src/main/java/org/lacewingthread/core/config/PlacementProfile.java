package org.lacewingthread.core.config;

/** What an application's placement weighs most. */
public enum PlacementProfile {
    /** Prefers fast recovery and even load; accepts more owner changes. */
    MINIMISE_UNAVAILABLE(1.25, 60),
    /** Prefers few owner changes; accepts more imbalance. */
    MINIMISE_CHURN(1.6, 12);

    private final double imbalanceThresholdRatio;
    private final int maxMovesPerMinute;

    PlacementProfile(double imbalanceThresholdRatio, int maxMovesPerMinute) {
        this.imbalanceThresholdRatio = imbalanceThresholdRatio;
        this.maxMovesPerMinute = maxMovesPerMinute;
    }

    /** Returns the load of the busiest server over the mean above which shards move. */
    public double imbalanceThresholdRatio() {
        return imbalanceThresholdRatio;
    }

    /** Returns how many shards may move a minute for balance alone. */
    public int maxMovesPerMinute() {
        return maxMovesPerMinute;
    }
}
