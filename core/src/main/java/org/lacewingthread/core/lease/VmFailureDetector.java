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
 * Judges which processes are gone for good. Silence never suffices: the platform's list must have stopped
 * showing the VM, or another process that runs on it must have seen the member in the roster. A VM runs one
 * process at a time, so a member that had joined before another process of its VM was alive has ended.
 */
final class VmFailureDetector {
    private static final int LEASES_UNTIL_GONE = 4;
    private static final int LEASES_UNTIL_GONE_IF_NEVER_LISTED = 20;
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

    void recordVmList(ControlEvent.VmListRead list, long nowMillis) {
        firstListMillis = Math.min(firstListMillis, nowMillis);
        lastListMillis = nowMillis;
        list.live().forEach(vm -> lastListedMillis.put(vm, nowMillis));
        list.leaving().forEach(vm -> lastListedMillis.put(vm, nowMillis));
        listedLeaving = new HashSet<>(list.leaving());
    }

    void recordMessage(VmStart vm, long nowMillis) {
        lastHeardMillis.put(vm, nowMillis);
    }

    /** Takes in that a process was alive after it had applied the log up to an offset. */
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

    /** Returns whether another process runs on a member's VM. */
    boolean isReplaced(VmStart member) {
        return isOtherProcessOnSameVm(member, self) || replacedMembers.contains(member);
    }

    /** Returns whether a member no longer exists. */
    boolean isGone(VmStart member, long nowMillis) {
        if (isReplaced(member)) {
            return true;
        }
        if (lastListMillis == Long.MIN_VALUE || nowMillis - lastListMillis > LIST_VALIDITY_MILLIS) {
            return false;
        }
        Long listed = lastListedMillis.get(member.vm());
        int leases = listed == null ? LEASES_UNTIL_GONE_IF_NEVER_LISTED : LEASES_UNTIL_GONE;
        long unseenSince = Math.max(
                listed == null ? firstListMillis : listed, lastHeardMillis.getOrDefault(member, Long.MIN_VALUE));
        return lastListMillis - unseenSince >= leases * settings.leaderLeaseMillis();
    }
}
