package org.lacewingthread.daemon.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;

/**
 * Which processes left this data centre's roster within the window of idempotency records. Two that
 * are gone may have taken a record and its only copy with them.
 */
final class RosterHistory {
    private final long windowMillis;
    private final Map<VmStart, Long> departedAtMillis = new HashMap<>();
    private Set<VmStart> members = Set.of();
    private long completeFromMillis;

    /** Creates a history that begins now. */
    RosterHistory(long windowMillis, long nowMillis) {
        this.windowMillis = windowMillis;
        this.completeFromMillis = nowMillis + windowMillis;
    }

    /** Takes in a view. */
    synchronized void onViewPublished(ControlView view, long nowMillis) {
        List<RosterMember> roster = view.state().roster(view.dataCentre());
        Set<VmStart> present = roster.stream().map(RosterMember::start).collect(Collectors.toSet());
        if (members.isEmpty() && present.equals(Set.of(view.self()))) {
            // This process began the roster: there was nothing before that it did not see.
            completeFromMillis = nowMillis;
        }
        for (VmStart member : members) {
            if (!present.contains(member)) {
                departedAtMillis.put(member, nowMillis);
            }
        }
        members = present;
        departedAtMillis.values().removeIf(millis -> millis + windowMillis < nowMillis);
    }

    /** Takes in what another VM saw; if that is the whole window, this VM knows the whole window too. */
    synchronized void merge(Set<VmStart> gone, boolean wholeWindow, long nowMillis) {
        for (VmStart start : gone) {
            if (!members.contains(start)) {
                departedAtMillis.putIfAbsent(start, nowMillis);
            }
        }
        if (wholeWindow) {
            completeFromMillis = Math.min(completeFromMillis, nowMillis);
        }
    }

    /** Returns the processes that left within the window. */
    synchronized Set<VmStart> departedProcesses() {
        return new HashSet<>(departedAtMillis.keySet());
    }

    /** Returns whether this VM knows of every process that left within the window. */
    synchronized boolean coversWholeWindow(long nowMillis) {
        return nowMillis >= completeFromMillis;
    }
}
