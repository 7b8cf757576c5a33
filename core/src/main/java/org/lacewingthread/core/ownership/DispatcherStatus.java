package org.lacewingthread.core.ownership;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmStart;

/** The leader's knowledge of what each entry VM of its data centre may still do. */
public interface DispatcherStatus {
    /** Returns whether a VM is a roster member, hears the leader and answers it. */
    boolean isLive(VmStart vm, long nowMillis);

    /**
     * Returns whether a VM provably acts under no plan of this term older than a version any more:
     * it applied that version or a later one and its released requests have ended, or its last possible
     * dispatch lease under an older plan, and the start-by deadline of what it sent, have run out.
     */
    boolean hasStoppedUsingPlansBefore(VmStart vm, long planVersion, long nowMillis);

    /**
     * Returns whether a VM stated that it has applied the log up to an offset. A ledger that does not
     * know says no, and split-out keys then stay with the shard they came from.
     */
    default boolean hasApplied(VmStart vm, LogOffset offset) {
        return false;
    }
}
