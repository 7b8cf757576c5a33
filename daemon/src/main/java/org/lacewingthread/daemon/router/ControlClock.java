package org.lacewingthread.daemon.router;

import java.util.function.LongSupplier;

/**
 * A clock that never goes back and counts suspension. The monotonic clock may stand still while a
 * machine is suspended, and the time of day may jump, so each reading advances by whichever moved
 * further: a lease may seem to end early, never late.
 */
public final class ControlClock {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** A lead of the time of day over the monotonic clock that counts as a suspension. */
    private static final long SUSPENSION_THRESHOLD_NANOS = 200 * NANOS_PER_MILLI;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallClockMillis;
    private long lastMonotonicNanos;
    private long lastWallClockMillis;
    private long elapsedNanos;

    /** Creates a clock on the system's clocks. */
    public ControlClock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /** Creates a clock on other clocks. */
    ControlClock(LongSupplier nanos, LongSupplier wallMillis) {
        this.monotonicNanos = nanos;
        this.wallClockMillis = wallMillis;
        this.lastMonotonicNanos = nanos.getAsLong();
        this.lastWallClockMillis = wallMillis.getAsLong();
    }

    /** Returns the milliseconds since the clock was created. */
    public synchronized long nowMillis() {
        long nanosNow = monotonicNanos.getAsLong();
        long wallNow = wallClockMillis.getAsLong();
        long monotonicStep = Math.max(0, nanosNow - lastMonotonicNanos);
        long wallStep = (wallNow - lastWallClockMillis) * NANOS_PER_MILLI;
        boolean suspended = wallStep - monotonicStep > SUSPENSION_THRESHOLD_NANOS;
        elapsedNanos += suspended ? wallStep : monotonicStep;
        lastMonotonicNanos = nanosNow;
        lastWallClockMillis = wallNow;
        return elapsedNanos / NANOS_PER_MILLI;
    }
}
