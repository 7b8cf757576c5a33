package org.lacewingthread.core.keyrange;

import java.util.Optional;

/**
 * What happens to one release in a simulation.
 *
 * @param carriedOutAfterMillis time from its sending until the server stops using the keys; empty if it never arrives
 * @param outcome what the VM learns
 * @param repliedAfterMillis time from its sending until the VM learns it
 */
record ReleaseFate(Optional<Long> carriedOutAfterMillis, ReleaseOutcome outcome, long repliedAfterMillis) {
    /** Time after which a VM gives up a release. */
    static final long TIMEOUT_MILLIS = 5_000;

    static ReleaseFate answered(long repliedAfterMillis) {
        return new ReleaseFate(Optional.of(2L), ReleaseOutcome.RELEASED, repliedAfterMillis);
    }

    static ReleaseFate lost() {
        return new ReleaseFate(Optional.empty(), ReleaseOutcome.UNKNOWN, TIMEOUT_MILLIS);
    }

    static ReleaseFate carriedOutWithoutAnswer(long carriedOutAfterMillis) {
        return new ReleaseFate(Optional.of(carriedOutAfterMillis), ReleaseOutcome.UNKNOWN, TIMEOUT_MILLIS);
    }
}
