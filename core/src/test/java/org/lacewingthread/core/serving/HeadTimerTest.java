package org.lacewingthread.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against heads that are refused because this process did not read them. */
class HeadTimerTest {
    private final HeadTimer timer = new HeadTimer();

    private void run(long fromMillis, long toMillis) {
        for (long at = fromMillis; at <= toMillis; at += 100) {
            timer.tick(at);
        }
    }

    @Test
    void headIsLateAfterTheLimit() {
        run(1_000_000, 1_001_000);
        long startedMillis = timer.runningMillis(1_001_050);
        run(1_001_100, 1_004_000);
        assertThat(timer.isLate(startedMillis, 3_000, 1_004_050)).isFalse();
        assertThat(timer.isLate(startedMillis, 3_000, 1_004_051)).isTrue();
    }

    @Test
    void timeInWhichTheProcessDidNotRunDoesNotCount() {
        run(0, 1_000);
        long startedMillis = timer.runningMillis(1_000);
        run(1_100, 2_000);
        assertThat(timer.isLate(startedMillis, 3_000, 60_000)).isFalse();
        run(60_000, 61_900);
        assertThat(timer.isLate(startedMillis, 3_000, 61_900)).isFalse();
        run(62_000, 62_100);
        assertThat(timer.isLate(startedMillis, 3_000, 62_100)).isTrue();
    }
}
