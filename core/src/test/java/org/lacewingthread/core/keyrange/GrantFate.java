package org.lacewingthread.core.keyrange;

import java.util.Optional;

/**
 * What happens to one grant in a simulation.
 *
 * @param arrivesAfterMillis time from its sending until it reaches the server, where its hold starts; empty if it is lost
 * @param appliedAfterMillis time from its sending until the server applies it
 * @param answered whether the VM receives the server's answer
 * @param answeredByAnother whether the VM takes the answer of an earlier call, which was granted, for that of this one
 * @param repliedAfterMillis time from its sending until the VM receives the answer or gives up the call
 */
record GrantFate(
        Optional<Long> arrivesAfterMillis,
        long appliedAfterMillis,
        boolean answered,
        boolean answeredByAnother,
        long repliedAfterMillis) {
    /** Time after which a VM gives up a grant. */
    static final long TIMEOUT_MILLIS = 1_000;

    static GrantFate answered(long arrivesAfterMillis, long repliedAfterMillis) {
        return new GrantFate(Optional.of(arrivesAfterMillis), arrivesAfterMillis, true, false, repliedAfterMillis);
    }

    /** Returns a grant that never arrives; the VM learns of it by the timeout or a reset of the connection. */
    static GrantFate lost(long repliedAfterMillis) {
        return new GrantFate(Optional.empty(), 0, false, false, repliedAfterMillis);
    }

    static GrantFate appliedWithoutAnswer(long arrivesAfterMillis, long appliedAfterMillis, long repliedAfterMillis) {
        return new GrantFate(Optional.of(arrivesAfterMillis), appliedAfterMillis, false, false, repliedAfterMillis);
    }

    /** Returns a grant that counts as granted by the answer of an earlier call, and is applied later. */
    static GrantFate answeredByAnother(long appliedAfterMillis, long repliedAfterMillis) {
        return new GrantFate(Optional.of(2L), appliedAfterMillis, false, true, repliedAfterMillis);
    }
}
