package org.lacewingthread.standin;

/**
 * Faults of a {@link VmListStandIn}. A field left out of the JSON form is 0 or false, which is no fault.
 *
 * @param unavailable every read is answered 503
 * @param unanswered reads are never answered
 * @param latencyMillis time from the receipt of a read to its answer
 * @param lagMillis age of the listing that readers see
 */
public record VmListFaults(boolean unavailable, boolean unanswered, long latencyMillis, long lagMillis) {
    /** No faults. */
    public static final VmListFaults NONE = new VmListFaults(false, false, 0, 0);

    /** Checks that no number is negative. */
    public VmListFaults {
        Checks.requireNonNegative("latencyMillis", latencyMillis);
        Checks.requireNonNegative("lagMillis", lagMillis);
    }
}
