package org.lacewingthread.core.config;

/** Objective that the placement of an application's shards gives priority. */
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

    /** Returns the ratio of the busiest server's load to the mean load above which shards move. */
    public double imbalanceThresholdRatio() {
        return imbalanceThresholdRatio;
    }

    /** Returns the number of shards that may move per minute for load balance alone. */
    public int maxMovesPerMinute() {
        return maxMovesPerMinute;
    }
}
