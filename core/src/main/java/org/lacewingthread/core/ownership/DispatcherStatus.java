package org.lacewingthread.core.ownership;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmStart;

/** Tells a leader which plans the entry VMs of its data centre may still dispatch under. */
public interface DispatcherStatus {
    /** Returns whether a VM is a roster member that receives and answers the leader's heartbeats. */
    boolean isLive(VmStart vm, long nowMillis);

    /**
     * Returns whether a VM can no longer act under any plan of this term that is older than a version.
     * This holds once it has applied that version or a later one and the requests that this released have
     * ended. It also holds once its last possible dispatch lease under an older plan and the start-by deadline
     * of the requests it sent have expired.
     */
    boolean hasStoppedUsingPlansBefore(VmStart vm, long planVersion, long nowMillis);

    /**
     * Returns whether a VM has reported that it applied the log up to an offset. An implementation that
     * does not track this returns false; split keys then stay with their base shard.
     */
    default boolean hasApplied(VmStart vm, LogOffset offset) {
        return false;
    }
}
