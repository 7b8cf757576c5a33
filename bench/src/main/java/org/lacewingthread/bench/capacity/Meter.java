package org.lacewingthread.bench.capacity;

import java.lang.management.ManagementFactory;

/** Resource usage of one entry VM's control core since the last reset: messages, log reads, orders, CPU and memory. */
final class Meter {
    /** Size of the length prefix of a frame. */
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

    /** Runs a piece of control work and adds its CPU time and allocated bytes. */
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

    /** Returns the table columns: rates per second of simulated time, averaged over a number of VMs. */
    String averageRates(double seconds, int vms) {
        double vmSeconds = seconds * vms;
        return String.format(
                "%.1f %.1f %.0f %.0f %.1f %.0f %.1f %.0f %.3f %.0f",
                messagesIn / vmSeconds,
                messagesOut / vmSeconds,
                bytesIn / vmSeconds,
                bytesOut / vmSeconds,
                logReads / vmSeconds,
                logBytes / vmSeconds,
                orders / vmSeconds,
                orderBytes / vmSeconds,
                cpuNanos / vmSeconds / 1e7,
                allocatedBytes / vmSeconds / 1024);
    }
}
