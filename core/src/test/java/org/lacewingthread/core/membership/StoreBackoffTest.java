package org.lacewingthread.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Load: 70 VMs, a third of them turned away by the store for 5.6 s of every 10 s; each has four topics and joins a group. */
class StoreBackoffTest {
    private static final int KINDS_OF_CALLS = 5;
    private static final long OUTAGE_MILLIS = 5_600;
    /** How often each kind of call looks whether it may be made. */
    private static final long RETRY_MILLIS = 200;

    private final StoreBackoff backoff = new StoreBackoff(new Random(7)::nextDouble);

    /** Returns the calls of an outage, in which every call fails at once. */
    private int callsOfOutage(boolean confirmed) {
        int calls = 0;
        for (long nowMillis = 0; nowMillis < OUTAGE_MILLIS; nowMillis += RETRY_MILLIS) {
            for (int kind = 0; kind < KINDS_OF_CALLS; kind++) {
                if (backoff.mayCall(confirmed, nowMillis)) {
                    calls++;
                    backoff.onEnded(false, nowMillis, nowMillis);
                }
            }
        }
        return calls;
    }

    /** Guards against calls of every kind at the usual interval, all of which are priced although the leader has the news. */
    @Test
    void oneKindOfCallProbesTheStoreWhileTheLeaderConfirmsTheView() {
        assertThat(callsOfOutage(true)).isBetween(5, 11);
    }

    /** Guards against a drain or a configuration that is read too late, since no leader tells of it. */
    @Test
    void nothingIsHeldBackWhileNobodyConfirmsTheView() {
        assertThat(callsOfOutage(false)).isEqualTo(KINDS_OF_CALLS * (int) (OUTAGE_MILLIS / RETRY_MILLIS));
    }

    /** Guards against a store that answers again and is noticed by one kind of call only. */
    @Test
    void allKindsOfCallsFollowOnceAProbeIsAnswered() {
        backoff.onEnded(false, 0, 10);
        assertThat(backoff.mayCall(true, 11)).isFalse();
        assertThat(backoff.mayCall(true, 10 + StoreBackoff.FIRST_DELAY_MILLIS)).isTrue();
        assertThat(backoff.mayCall(true, 10 + StoreBackoff.FIRST_DELAY_MILLIS)).isFalse();
        backoff.onEnded(true, 210, 215);
        assertThat(backoff.mayCall(true, 216)).isTrue();
    }

    /** Guards against the longest delay after one lost connection, over which several calls were under way. */
    @Test
    void callsThatFailTogetherCountAsOneFailure() {
        for (int kind = 0; kind < KINDS_OF_CALLS; kind++) {
            backoff.onEnded(false, 0, 10);
        }
        assertThat(backoff.mayCall(true, 10 + StoreBackoff.FIRST_DELAY_MILLIS)).isTrue();
    }
}
