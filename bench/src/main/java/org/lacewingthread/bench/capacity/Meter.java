package org.lacewingthread.bench.capacity;

import java.lang.management.ManagementFactory;

/** Counts what one entry VM's control has used since the meter was last reset. */
final class Meter {
    /** Bytes of the length that goes before a frame. */
    static final int FRAME_LENGTH_BYTES = 4;

    private static final com.sun.management.ThreadMXBean THREAD_MX_BEAN =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

    long messagesIn;
    long messagesOut;
    long bytesIn;
    long bytesOut;
    long logReads;
    long logBytes;
    long orders;
    long orderBytes;
    long cpuNanos;
    long allocatedBytes;

    void reset() {
        messagesIn = 0;
        messagesOut = 0;
        bytesIn = 0;
        bytesOut = 0;
        logReads = 0;
        logBytes = 0;
        orders = 0;
        orderBytes = 0;
        cpuNanos = 0;
        allocatedBytes = 0;
    }

    void add(Meter other) {
        messagesIn += other.messagesIn;
        messagesOut += other.messagesOut;
        bytesIn += other.bytesIn;
        bytesOut += other.bytesOut;
        logReads += other.logReads;
        logBytes += other.logBytes;
        orders += other.orders;
        orderBytes += other.orderBytes;
        cpuNanos += other.cpuNanos;
        allocatedBytes += other.allocatedBytes;
    }

    /** Runs control work and counts its processor time and allocation. */
    void measure(Runnable work) {
        long allocatedBefore = THREAD_MX_BEAN.getCurrentThreadAllocatedBytes();
        long cpuBefore = THREAD_MX_BEAN.getCurrentThreadCpuTime();
        work.run();
        cpuNanos += THREAD_MX_BEAN.getCurrentThreadCpuTime() - cpuBefore;
        allocatedBytes += THREAD_MX_BEAN.getCurrentThreadAllocatedBytes() - allocatedBefore;
    }

    void recordSent(int frameBytes) {
        messagesOut++;
        bytesOut += frameBytes + FRAME_LENGTH_BYTES;
    }

    void recordReceived(int frameBytes) {
        messagesIn++;
        bytesIn += frameBytes + FRAME_LENGTH_BYTES;
    }

    /** Returns the columns of a table: rates over some virtual time, for the mean of some VMs. */
    String averageRates(double seconds, int vms) {
        double n = seconds * vms;
        return String.format(
                "%.1f %.1f %.0f %.0f %.1f %.0f %.1f %.0f %.3f %.0f",
                messagesIn / n,
                messagesOut / n,
                bytesIn / n,
                bytesOut / n,
                logReads / n,
                logBytes / n,
                orders / n,
                orderBytes / n,
                cpuNanos / n / 1e7,
                allocatedBytes / n / 1024);
    }
}
