package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ControlClockTest {
    private long monotonicNanos;
    private long timeOfDayMillis = 1_000_000;
    private final ControlClock clock = new ControlClock(() -> monotonicNanos, () -> timeOfDayMillis);

    private void advance(long monotonicMillis, long wallClockMillis) {
        monotonicNanos += monotonicMillis * 1_000_000;
        timeOfDayMillis += wallClockMillis;
    }

    @Test
    void clockFollowsMonotonicClock() {
        advance(500, 480);
        assertThat(clock.nowMillis()).isEqualTo(500);
    }

    @Test
    void clockCountsSuspensionMissedByMonotonicClock() {
        advance(10, 5_000);
        assertThat(clock.nowMillis()).isEqualTo(5_000);
    }

    @Test
    void clockDoesNotGoBackWhenTimeOfDayJumpsBack() {
        advance(100, 100);
        long before = clock.nowMillis();
        advance(20, -3_000);
        assertThat(clock.nowMillis()).isEqualTo(before + 20);
    }
}
