package org.lacewingthread.daemon.router;

import org.lacewingthread.core.quarantine.CrashRecord;

/** Carries records of requests that crash servers to the other entry VMs and to the store. */
interface CrashRecordLink {
    /** Passes a changed record on. */
    void publish(CrashRecord changed);

    /** Passes an unchanged record on to the other entry VMs once more. */
    void repeat(CrashRecord known);

    /** Tells that a request was acquitted. */
    void publishCleared(CrashRecord last);

    /** Tells the other entry VMs once more that a request was acquitted. */
    void repeatCleared(CrashRecord last);

    /**
     * Records a trial of a rejected request in the store, unless another VM has recorded one;
     * {@link CrashGuard#onTrialReserved} is called with the result.
     */
    void reserveTrial(CrashRecord withTrial);
}
