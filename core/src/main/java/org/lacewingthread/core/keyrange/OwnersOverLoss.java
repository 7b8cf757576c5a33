package org.lacewingthread.core.keyrange;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.id.ServiceId;

/**
 * Finds the owners with which a leader goes on in a new era of the store: those of which it is certain that no leader of
 * a lost term gave their keys away. Such a leader started no step of a move later than the longest silence for moves
 * after the change of the era. It gave keys away only once their owner had accepted a fence above those of this term, or
 * once this process may not act any more. So a grant with a fence of this term that is sent after that time and accepted
 * shows that the owner still has its keys.
 */
record OwnersOverLoss(StoreEras eras, RangeHolds holds, RangeLeaseTimes times) {
    /** Time for which a leader waits for the owners to accept such a grant; twice the interval of renewals. */
    private static final long MAX_PROOF_MILLIS = 2_000;
    /** Time before the end of a leader's right to act at which it records its table at the latest. */
    private static final long RECORDING_MARGIN_MILLIS = 500;

    /**
     * Returns the ranges that are certain; empty while it is too early to tell.
     *
     * @param remainingMillis time for which this process may still act
     * @param steadyMillis present time, by the clock without its advances
     */
    Optional<Map<ServiceId, List<RangeOwnership>>> certainOwners(
            long remainingMillis, long steadyMillis, long nowMillis) {
        long proofMillis = eras.ageMillis(steadyMillis) - times.maxStoreSilenceForMovesMillis();
        if (proofMillis < 0) {
            return Optional.empty();
        }
        long provenFromMillis = nowMillis - proofMillis;
        boolean waits = proofMillis < MAX_PROOF_MILLIS
                && remainingMillis > RECORDING_MARGIN_MILLIS
                && !holds.areAllAcceptedSince(provenFromMillis);
        return waits ? Optional.empty() : Optional.of(holds.acceptedSince(provenFromMillis));
    }
}
