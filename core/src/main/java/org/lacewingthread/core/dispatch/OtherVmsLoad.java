package org.lacewingthread.core.dispatch;

import java.util.OptionalLong;

/**
 * Estimate of the requests that other entry VMs have at a server, from the loads that the server reported to this VM. A
 * report loses its weight within a few service times, since the requests it counted are answered by then. Others
 * replace them at a busy server, so the estimate tends towards the average of the recent reports rather than zero.
 */
final class OtherVmsLoad {
    /** Time constant, in service times, with which the newest report gives way to the average. */
    private static final double REPORT_DECAY_SERVICE_TIMES = 5;
    /** Time constant of the average; a VM among 70 sees a server once in several seconds. */
    private static final double AVERAGE_MILLIS = 4_000;

    private double newest;
    private double average;
    private long reportedAtMillis;
    private boolean known;

    /** Records a load that the server reported, less this VM's own requests. */
    void onReported(double load, long nowMillis) {
        double weight = known ? 1 - Math.exp(-(nowMillis - reportedAtMillis) / AVERAGE_MILLIS) : 1;
        average += weight * (load - average);
        newest = load;
        reportedAtMillis = nowMillis;
        known = true;
    }

    /** Returns the age of the newest report; empty without one. */
    OptionalLong ageMillis(long nowMillis) {
        return known ? OptionalLong.of(nowMillis - reportedAtMillis) : OptionalLong.empty();
    }

    /**
     * Returns the estimated number of requests.
     *
     * @param serviceMillis service time of the server
     * @param tendsToAverage whether the estimate tends towards the average of the reports, otherwise towards zero
     */
    double estimate(double serviceMillis, boolean tendsToAverage, long nowMillis) {
        double ageMillis = Math.max(0, nowMillis - reportedAtMillis);
        double faded = tendsToAverage ? average * Math.exp(-ageMillis / AVERAGE_MILLIS) : 0;
        double newestWeight = Math.exp(-ageMillis / Math.max(1, serviceMillis * REPORT_DECAY_SERVICE_TIMES));
        return faded + newestWeight * (newest - faded);
    }
}
