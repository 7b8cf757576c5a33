package org.lacewingthread.daemon.operator.publish;

import java.util.concurrent.TimeUnit;

/** Time as a publisher sees it; replaced by virtual time in tests. */
public interface PublisherClock {
    /** The clock of this machine. */
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

    /** Returns the monotonic time. */
    long monotonicMillis();

    /** Returns the wall clock's time, for the audit trail. */
    long epochMillis();

    /** Waits. */
    void sleep(long millis) throws InterruptedException;
}
