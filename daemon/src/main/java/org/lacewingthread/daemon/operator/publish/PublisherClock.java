package org.lacewingthread.daemon.operator.publish;

import java.util.concurrent.TimeUnit;

/** Source of the time and of waits for a publisher. Tests replace it by virtual time. */
public interface PublisherClock {
    /** Clock of the Java runtime. */
    PublisherClock SYSTEM = new PublisherClock() {
        @Override
        public long monotonicMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public long epochMillis() {
            return System.currentTimeMillis();
        }

        @Override
        public void sleep(long millis) throws InterruptedException {
            Thread.sleep(millis);
        }
    };

    /** Returns the time of the monotonic clock in milliseconds, for deadlines. */
    long monotonicMillis();

    /** Returns the wall-clock time in milliseconds since the Unix epoch, for the audit trail. */
    long epochMillis();

    /**
     * Blocks the calling thread for a time.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    void sleep(long millis) throws InterruptedException;
}
