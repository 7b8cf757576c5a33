package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ControlClockTest {
    private long nanos;
    private long wallMillis = 1_000_000;
    private final ControlClock clock = new ControlClock(() -> nanos, () -> wallMillis);

    private void pass(long monotonicMillis, long wallClockMillis) {
        nanos += monotonicMillis * 1_000_000;
        wallMillis += wallClockMillis;
    }

    @Test
    void itFollowsTheMonotonicClock() {
        pass(500, 480);
        assertThat(clock.nowMillis()).isEqualTo(500);
    }

    @Test
    void itCountsASuspensionThatTheMonotonicClockMissed() {
        pass(10, 5_000);
        assertThat(clock.nowMillis()).isEqualTo(5_000);
    }

    @Test
    void itNeverGoesBackWithTheTimeOfDay() {
        pass(100, 100);
        long before = clock.nowMillis();
        pass(20, -3_000);
        assertThat(clock.nowMillis()).isEqualTo(before + 20);
    }
}
