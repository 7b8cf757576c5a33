package org.lacewingthread.daemon.router;

import java.util.function.LongSupplier;

/**
 * A clock that never goes back and includes the time during which the machine was suspended. The monotonic clock may
 * stop during a suspension, and the time of day may jump. Each reading therefore advances with the monotonic clock, or
 * with the time of day if that is far ahead. A jump of the time of day can make this process's own leases seem to end
 * early, never late. For the holds of others, {@link #leadMillis} tells by how much the clock may be ahead.
 */
public final class ControlClock {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** A step of the time of day that exceeds the monotonic one by more than this is taken for a suspension. */
    private static final long SUSPENSION_THRESHOLD_NANOS = 200 * NANOS_PER_MILLI;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallClockMillis;
    private long lastMonotonicNanos;
    private long lastWallClockMillis;
    private long elapsedNanos;
    private long leadNanos;

    /** Creates a clock that reads the system's clocks. */
    public ControlClock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /** Creates a clock that reads the given clocks, for tests. */
    public ControlClock(LongSupplier monotonicNanos, LongSupplier wallClockMillis) {
        this.monotonicNanos = monotonicNanos;
        this.wallClockMillis = wallClockMillis;
        this.lastMonotonicNanos = monotonicNanos.getAsLong();
        this.lastWallClockMillis = wallClockMillis.getAsLong();
    }

    /** Returns the time since the clock was created, in milliseconds. */
    public synchronized long nowMillis() {
        long monotonicNow = monotonicNanos.getAsLong();
        long wallClockNow = wallClockMillis.getAsLong();
        long monotonicStepNanos = Math.max(0, monotonicNow - lastMonotonicNanos);
        long wallClockStepNanos = (wallClockNow - lastWallClockMillis) * NANOS_PER_MILLI;
        boolean suspended = wallClockStepNanos - monotonicStepNanos > SUSPENSION_THRESHOLD_NANOS;
        elapsedNanos += suspended ? wallClockStepNanos : monotonicStepNanos;
        leadNanos += suspended ? wallClockStepNanos - monotonicStepNanos : 0;
        lastMonotonicNanos = monotonicNow;
        lastWallClockMillis = wallClockNow;
        return elapsedNanos / NANOS_PER_MILLI;
    }

    /**
     * Returns by how much this clock has advanced more than the monotonic one, in milliseconds: the suspensions so far, or
     * steps of the time of day that were taken for them.
     */
    public synchronized long leadMillis() {
        return leadNanos / NANOS_PER_MILLI;
    }
}
