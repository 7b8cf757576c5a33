package org.lacewingthread.core.hedging;

/**
 * The operator's settings of hedged requests.
 *
 * @param quantile share of a service's responses that arrive before an attempt counts as overdue, such as 0.95; between 0.5 and
 *     1, both excluded
 * @param maxExtraRatio most hedged attempts as a share of first attempts, such as 0.05; above 0 and at most 0.5
 */
public record HedgeSettings(double quantile, double maxExtraRatio) {
    /** Checks the ranges. */
    public HedgeSettings {
        if (!(quantile > 0.5 && quantile < 1)) {
            throw new IllegalArgumentException(
                    "hedging quantile " + quantile + " is not between 0.5 and 1; use for example 0.95");
        }
        if (!(maxExtraRatio > 0 && maxExtraRatio <= 0.5)) {
            throw new IllegalArgumentException(
                    "hedging maxExtraRatio " + maxExtraRatio + " is not above 0 and at most 0.5; use for example 0.05");
        }
    }
}
