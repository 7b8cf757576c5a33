package org.lacewingthread.core.traffic;

/** Exponentially weighted moving average of a server's service time and of its mean deviation. */
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

    /** Returns a service time that nearly no request exceeds: the mean plus four mean deviations. */
    double upperBoundMillis() {
        return meanMillis + 4 * deviationMillis;
    }
}
