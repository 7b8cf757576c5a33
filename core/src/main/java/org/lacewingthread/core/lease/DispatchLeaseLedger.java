package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.lacewingthread.core.control.PeerMessage.HeartbeatReply;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.ownership.DispatcherStatus;

/** Tracks, for a leader, the dispatch leases that its heartbeats of one term may have started. */
final class DispatchLeaseLedger implements DispatcherStatus {
    /** Lease and progress information about one VM. */
    private static final class VmLeaseInfo {
        private final TreeMap<Long, Long> lastLeaseEndByVersion = new TreeMap<>();
        private long repliedAtMillis = -1;
        private long receivedAtMillis;
        private long appliedVersion = DispatchLease.NO_VERSION;
        private long releasedVersion = DispatchLease.NO_VERSION;
        private LogOffset appliedOffset = LogOffset.NONE;
    }

    private final VmContext context;
    private final HeldLeaderLeases heldLeases;
    private final long predecessorEndMillis;
    private final Map<VmStart, VmLeaseInfo> infoByVm = new HashMap<>();

    DispatchLeaseLedger(VmContext context, HeldLeaderLeases heldLeases, long predecessorEndMillis) {
        this.context = context;
        this.heldLeases = heldLeases;
        this.predecessorEndMillis = predecessorEndMillis;
    }

    @Override
    public boolean isLive(VmStart vm, long nowMillis) {
        return context.rosterMember(vm).isPresent() && heldLeases.holds(vm, nowMillis);
    }

    @Override
    public boolean hasStoppedUsingPlansBefore(VmStart vm, long planVersion, long nowMillis) {
        VmLeaseInfo info = infoByVm.get(vm);
        if (info == null) {
            return nowMillis >= predecessorEndMillis;
        }
        if (info.releasedVersion >= planVersion) {
            return true;
        }
        long lastLeaseEndMillis = info.lastLeaseEndByVersion.headMap(planVersion).values().stream()
                .reduce(predecessorEndMillis, Math::max);
        return nowMillis >= lastLeaseEndMillis;
    }

    @Override
    public boolean hasApplied(VmStart vm, LogOffset offset) {
        VmLeaseInfo info = infoByVm.get(vm);
        return info != null && !offset.isAfter(info.appliedOffset);
    }

    /** Records a reply of this term. Returns whether the VM applied a plan version that was not echoed yet. */
    boolean recordReply(VmStart vm, HeartbeatReply reply, long nowMillis) {
        VmLeaseInfo info = infoByVm.computeIfAbsent(vm, v -> new VmLeaseInfo());
        info.releasedVersion = Math.max(info.releasedVersion, reply.releasedPlanVersion());
        if (reply.appliedOffset().isAfter(info.appliedOffset)) {
            info.appliedOffset = reply.appliedOffset();
        }
        if (reply.repliedAtMillis() < info.repliedAtMillis || reply.appliedPlanVersion() < info.appliedVersion) {
            return false;
        }
        boolean isNewVersion = reply.appliedPlanVersion() > info.appliedVersion;
        if (reply.repliedAtMillis() > info.repliedAtMillis) {
            info.receivedAtMillis = nowMillis;
        }
        info.repliedAtMillis = reply.repliedAtMillis();
        info.appliedVersion = reply.appliedPlanVersion();
        return isNewVersion;
    }

    /** Returns the plan version that the VM's newest reply reports as applied. */
    long appliedVersion(VmStart vm) {
        VmLeaseInfo info = infoByVm.get(vm);
        return info == null ? DispatchLease.NO_VERSION : info.appliedVersion;
    }

    /** Returns the VM's clock time in its newest reply, or -1 if it has not replied. */
    long repliedAtMillis(VmStart vm) {
        VmLeaseInfo info = infoByVm.get(vm);
        return info == null ? -1 : info.repliedAtMillis;
    }

    /**
     * Records that a heartbeat is about to echo the newest reply. The dispatch lease that the echo starts is counted
     * from the time at which that reply was received here, which is not earlier than the time at which it was sent.
     */
    void recordEcho(VmStart vm) {
        VmLeaseInfo info = infoByVm.get(vm);
        if (info != null && info.appliedVersion != DispatchLease.NO_VERSION) {
            long endMillis = context.leaseDeadlines().grantorDispatchDeadline(info.receivedAtMillis);
            info.lastLeaseEndByVersion.put(info.appliedVersion, endMillis);
        }
    }
}
