package org.lacewingthread.core.dispatch;

/**
 * Bound on the requests that a cold server may receive from all entry VMs together in any one second: its rate times
 * {@code overage}, plus {@code slack}.
 *
 * @param overage factor of the rate that the service's configuration states
 * @param slack requests added to that
 */
public record ColdServerRule(double overage, double slack) {
    private static final double MILLIS_PER_SECOND = 1e3;
    /** A leader, and a former one that doesn't know of it. */
    private static final int LEADERS = 2;
    /** Share of the rate that is permitted in any case, since a cold server without requests helps nobody. */
    private static final double MIN_RATE_SHARE = 0.1;

    /** Checks that the bound is a number and not below the rate. */
    public ColdServerRule {
        if (!isValid(overage, slack)) {
            throw new IllegalArgumentException("cold servers with an overage of " + overage + " and a slack of " + slack
                    + " are not valid; use an overage of 1 or more and a slack of 0 or more");
        }
    }

    /** Returns whether a rule can be made of two figures. */
    public static boolean isValid(double overage, double slack) {
        return overage >= 1 && slack >= 0 && Double.isFinite(overage) && Double.isFinite(slack);
    }

    /** Returns the most requests that the rule allows in one second. */
    public double maxInOneSecond(double ratePerSecond) {
        return ratePerSecond * overage + slack;
    }

    /**
     * Returns the rate of permits with which the rule holds although a former leader, which some entry VMs still hear,
     * issues permits too: the rate of the service, or less where the bound of one second is close to it.
     */
    double permittedPerSecond(double ratePerSecond) {
        double ofOneLeader = maxInOneSecond(ratePerSecond) / LEADERS - PermitIssuer.MAX_SAVED_COLD_PERMITS;
        double useSeconds = 1 + ColdServers.PERMIT_USE_MILLIS / MILLIS_PER_SECOND;
        return Math.max(ratePerSecond * MIN_RATE_SHARE, Math.min(ratePerSecond, ofOneLeader / useSeconds));
    }
}
