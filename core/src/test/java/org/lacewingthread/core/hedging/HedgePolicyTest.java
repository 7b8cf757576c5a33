package org.lacewingthread.core.hedging;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServiceId;

class HedgePolicyTest {
    private static final ServiceId DESK = new ServiceId("desk");
    private static final long EXPECTED_MILLIS = 200;

    private final HedgePolicy policy = new HedgePolicy(new HedgeSettings(0.9, 0.05));

    /** Records responses of which one in ten takes five times as long as expected. */
    private void measureStalls(int count, long nowMillis) {
        for (int i = 0; i < count; i++) {
            policy.onAnswered(DESK, EXPECTED_MILLIS, i % 10 == 9 ? 1_000 : 180, nowMillis);
        }
    }

    /** Guards against hedges on a quantile of a handful of samples. */
    @Test
    void nothingIsHedgedBeforeEnoughAttemptsWereMeasured() {
        measureStalls(20, 0);
        assertThat(policy.hedgeAfterMillis(DESK, EXPECTED_MILLIS, 0)).isEmpty();
    }

    /** Guards against hedging each request of a slow server: the delay scales with what is expected of the server. */
    @Test
    void delayScalesWithTheExpectedTimeOfTheServer() {
        measureStalls(100, 0);
        assertThat(policy.hedgeAfterMillis(DESK, EXPECTED_MILLIS, 0).orElseThrow())
                .isBetween(EXPECTED_MILLIS, 2 * EXPECTED_MILLIS);
        assertThat(policy.hedgeAfterMillis(DESK, 4 * EXPECTED_MILLIS, 0).orElseThrow())
                .isBetween(4 * EXPECTED_MILLIS, 8 * EXPECTED_MILLIS);
    }

    /** Guards against a delay that follows an overload of minutes ago. */
    @Test
    void oldMeasurementsAreDropped() {
        measureStalls(100, 0);
        assertThat(policy.hedgeAfterMillis(DESK, EXPECTED_MILLIS, 30_000)).isEmpty();
    }

    /** Guards against more extra work than the operator allows, however many attempts are overdue. */
    @Test
    void extraWorkStaysWithinItsShareOfFirstAttempts() {
        int hedges = 0;
        for (int i = 0; i < 1_000; i++) {
            policy.onFirstAttempt();
            hedges += policy.tryTake() ? 1 : 0;
        }
        assertThat(hedges).isBetween(45, 50 + 3);
    }

    @Test
    void settingsOutOfRangeAreQuoted() {
        assertThatThrownBy(() -> new HedgeSettings(1, 0.05)).hasMessageContaining("1.0");
        assertThatThrownBy(() -> new HedgeSettings(0.95, 0)).hasMessageContaining("0.0");
    }
}
