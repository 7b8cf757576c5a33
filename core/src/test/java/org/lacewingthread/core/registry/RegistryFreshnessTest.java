package org.lacewingthread.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests until when a view of the registry is good enough to send requests by. */
class RegistryFreshnessTest {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long DELIVERY_MILLIS = 250;

    private final AtomicLong nowMillis = new AtomicLong(50_000);
    private final RegistryFreshness freshness = new RegistryFreshness(DRAIN_MILLIS, nowMillis::get, nowMillis::get);

    /** Guards against requests that arrive at a server when its unseen drain is over. */
    @Test
    void viewIsGoodUntilAnUnseenDrainMayBeOver() {
        freshness.onCurrent(nowMillis.get() - 100);
        nowMillis.addAndGet(DRAIN_MILLIS - DELIVERY_MILLIS - 101);
        assertThat(freshness.allowsRequests()).isTrue();
        nowMillis.addAndGet(1);
        assertThat(freshness.allowsRequests()).isFalse();
        freshness.onCurrent(nowMillis.get());
        assertThat(freshness.allowsRequests()).isTrue();
    }

    /** Guards against a late confirmation that makes the view look older. */
    @Test
    void olderConfirmationHasNoEffect() {
        freshness.onCurrent(nowMillis.get());
        freshness.onCurrent(nowMillis.get() - 1_900);
        assertThat(freshness.ageMillis()).isZero();
    }

    /** Guards against a VM that stops serving because the store is down or cut off. */
    @Test
    void vmWithoutStoreGoesOn() {
        freshness.onCurrent(nowMillis.get());
        freshness.onStoreSilent();
        nowMillis.addAndGet(60_000);
        assertThat(freshness.allowsRequests()).isTrue();
    }

    /** Guards against a VM that never serves again, since it is too late itself to notice that the store is away. */
    @Test
    void oldViewStopsRequestsForALimitedTime() {
        freshness.onCurrent(nowMillis.get());
        nowMillis.addAndGet(4_999);
        assertThat(freshness.allowsRequests()).isFalse();
        nowMillis.addAndGet(1);
        assertThat(freshness.allowsRequests()).isTrue();
    }
}
