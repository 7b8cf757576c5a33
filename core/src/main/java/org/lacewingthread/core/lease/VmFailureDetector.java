package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.RosterMember;

/**
 * Detects processes that have ended permanently. Missing messages alone are never sufficient: either the platform's
 * VM list no longer contains the VM, or another process on the same VM has applied the roster that contains the
 * member. A VM runs one process at a time, so a member that joined before another process of its VM was alive has
 * ended.
 */
final class VmFailureDetector {
    /** Number of leader lease durations after which a member that is neither listed nor heard from is gone. */
    private static final int LEASES_UNTIL_GONE = 4;
    /** The same for a VM that no list has contained yet. */
    private static final int LEASES_UNTIL_GONE_IF_NEVER_LISTED = 20;
    /** Age above which the newest VM list is no longer used. */
    private static final long LIST_VALIDITY_MILLIS = 30_000;

    private final ControlSettings settings;
    private final Map<VmId, Long> lastListedMillis = new HashMap<>();
    private final Map<VmStart, Long> lastHeardMillis = new HashMap<>();
    private final Set<VmStart> replacedMembers = new HashSet<>();
    private final VmStart self;
    private Set<VmId> listedLeaving = Set.of();
    private long firstListMillis = Long.MAX_VALUE;
    private long lastListMillis = Long.MIN_VALUE;

    VmFailureDetector(ControlSettings settings, VmStart self) {
        this.settings = settings;
        this.self = self;
    }

    /** Records the platform's list of live and leaving VMs. */
    void recordVmList(ControlEvent.VmListRead list, long nowMillis) {
        firstListMillis = Math.min(firstListMillis, nowMillis);
        lastListMillis = nowMillis;
        list.live().forEach(vm -> lastListedMillis.put(vm, nowMillis));
        list.leaving().forEach(vm -> lastListedMillis.put(vm, nowMillis));
        listedLeaving = new HashSet<>(list.leaving());
    }

    /** Records that a message of a process was received. */
    void recordMessage(VmStart vm, long nowMillis) {
        lastHeardMillis.put(vm, nowMillis);
    }

    /** Records that a process was alive after it had applied the log up to the given offset. */
    void recordProgress(VmStart process, LogOffset appliedOffset, DataCentreState dataCentre) {
        if (dataCentre.rosterRevision().isAfter(appliedOffset)) {
            return;
        }
        dataCentre.members().stream()
                .map(RosterMember::start)
                .filter(m -> isOtherProcessOnSameVm(m, process))
                .forEach(replacedMembers::add);
    }

    private static boolean isOtherProcessOnSameVm(VmStart a, VmStart b) {
        return a.vm().equals(b.vm()) && !a.equals(b);
    }

    boolean isListedLeaving(VmId vm) {
        return listedLeaving.contains(vm);
    }

    /** Returns whether another process has run on the member's VM since the member joined. */
    boolean isReplaced(VmStart member) {
        return isOtherProcessOnSameVm(member, self) || replacedMembers.contains(member);
    }

    /** Returns whether the member's process has ended permanently. */
    boolean isGone(VmStart member, long nowMillis) {
        if (isReplaced(member)) {
            return true;
        }
        if (lastListMillis == Long.MIN_VALUE || nowMillis - lastListMillis > LIST_VALIDITY_MILLIS) {
            return false;
        }
        Long listedMillis = lastListedMillis.get(member.vm());
        int leases = listedMillis == null ? LEASES_UNTIL_GONE_IF_NEVER_LISTED : LEASES_UNTIL_GONE;
        long lastSeenMillis = Math.max(
                listedMillis == null ? firstListMillis : listedMillis,
                lastHeardMillis.getOrDefault(member, Long.MIN_VALUE));
        return lastListMillis - lastSeenMillis >= leases * settings.leaderLeaseMillis();
    }
}
