package org.lacewingthread.core.traffic;

/** Running estimate of a server's service time: an exponentially weighted mean and mean deviation. */
final class ServiceTimeEstimate {
    private static final double MEAN_GAIN = 0.1;
    private static final double DEVIATION_GAIN = 0.2;

    private double meanMillis;
    private double deviationMillis;

    ServiceTimeEstimate(double initialMillis) {
        this.meanMillis = initialMillis;
        this.deviationMillis = initialMillis / 2;
    }

    void add(double sampleMillis) {
        double error = sampleMillis - meanMillis;
        meanMillis += MEAN_GAIN * error;
        deviationMillis += DEVIATION_GAIN * (Math.abs(error) - deviationMillis);
    }

    double meanMillis() {
        return meanMillis;
    }

    /** Returns a time that nearly all services stay below. */
    double upperBoundMillis() {
        return meanMillis + 4 * deviationMillis;
    }
}
