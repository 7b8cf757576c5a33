package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.lacewingthread.core.control.PeerMessage.HeartbeatReply;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.ownership.DispatchLedger;

/** A leader's account of the dispatch leases that its heartbeats of one term may have started. */
final class DispatchLeaseLedger implements DispatchLedger {
    /** What is known of one VM. */
    private static final class Account {
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
    private final Map<VmStart, Account> accounts = new HashMap<>();

    DispatchLeaseLedger(VmContext context, HeldLeaderLeases held, long predecessorEndMillis) {
        this.context = context;
        this.heldLeases = held;
        this.predecessorEndMillis = predecessorEndMillis;
    }

    @Override
    public boolean isLive(VmStart vm, long nowMillis) {
        return context.rosterMember(vm).isPresent() && heldLeases.holds(vm, nowMillis);
    }

    @Override
    public boolean hasLeft(VmStart vm, long planVersion, long nowMillis) {
        Account account = accounts.get(vm);
        if (account == null) {
            return nowMillis >= predecessorEndMillis;
        }
        if (account.releasedVersion >= planVersion) {
            return true;
        }
        long lastPermission = account.lastLeaseEndByVersion.headMap(planVersion).values().stream()
                .reduce(predecessorEndMillis, Math::max);
        return nowMillis >= lastPermission;
    }

    @Override
    public boolean hasApplied(VmStart vm, LogOffset offset) {
        Account account = accounts.get(vm);
        return account != null && !offset.isAfter(account.appliedOffset);
    }

    /** Takes in a reply of this term; returns whether the VM applied a plan that no echo has named yet. */
    boolean recordReply(VmStart vm, HeartbeatReply reply, long nowMillis) {
        Account account = accounts.computeIfAbsent(vm, v -> new Account());
        account.releasedVersion = Math.max(account.releasedVersion, reply.releasedPlanVersion());
        if (reply.appliedOffset().isAfter(account.appliedOffset)) {
            account.appliedOffset = reply.appliedOffset();
        }
        if (reply.repliedAtMillis() < account.repliedAtMillis || reply.appliedPlanVersion() < account.appliedVersion) {
            return false;
        }
        boolean isNews = reply.appliedPlanVersion() > account.appliedVersion;
        if (reply.repliedAtMillis() > account.repliedAtMillis) {
            account.receivedAtMillis = nowMillis;
        }
        account.repliedAtMillis = reply.repliedAtMillis();
        account.appliedVersion = reply.appliedPlanVersion();
        return isNews;
    }

    /** Returns the version that a VM's newest reply stated as applied. */
    long appliedVersion(VmStart vm) {
        Account account = accounts.get(vm);
        return account == null ? DispatchLease.NO_VERSION : account.appliedVersion;
    }

    /** Returns the time that a VM's newest reply stated, or -1. */
    long repliedAtMillis(VmStart vm) {
        Account account = accounts.get(vm);
        return account == null ? -1 : account.repliedAtMillis;
    }

    /**
     * Takes in that a heartbeat is about to echo the newest reply. The lease that this starts is counted from
     * that reply, which was sent before it was received here.
     */
    void recordEcho(VmStart vm) {
        Account account = accounts.get(vm);
        if (account != null && account.appliedVersion != DispatchLease.NO_VERSION) {
            long endMillis = context.leaseDeadlines().grantorDispatchDeadline(account.receivedAtMillis);
            account.lastLeaseEndByVersion.put(account.appliedVersion, endMillis);
        }
    }
}
