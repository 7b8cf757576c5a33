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
 * Records which processes left this data centre's roster within the retention window of idempotency
 * records. A record is held by two processes, so once two have left, a record may be lost entirely.
 */
final class RosterHistory {
    private final long windowMillis;
    private final Map<VmStart, Long> departedAtMillis = new HashMap<>();
    private Set<VmStart> members = Set.of();
    private long completeFromMillis;

    /**
     * Creates a history that covers departures from now on, and hence the whole window only when one
     * window has passed.
     */
    RosterHistory(long windowMillis, long nowMillis) {
        this.windowMillis = windowMillis;
        this.completeFromMillis = nowMillis + windowMillis;
    }

    /** Compares the roster of a published view with the previous one and records the departed members. */
    synchronized void onViewPublished(ControlView view, long nowMillis) {
        List<RosterMember> roster = view.state().roster(view.dataCentre());
        Set<VmStart> present = roster.stream().map(RosterMember::start).collect(Collectors.toSet());
        if (members.isEmpty() && present.equals(Set.of(view.self()))) {
            // This process is the first roster member, so no earlier departures can be missing.
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

    /**
     * Adds the departures that another VM recorded. If its history covers the whole window, this one does
     * so too from now on.
     */
    synchronized void merge(Set<VmStart> departed, boolean wholeWindow, long nowMillis) {
        for (VmStart start : departed) {
            if (!members.contains(start)) {
                departedAtMillis.putIfAbsent(start, nowMillis);
            }
        }
        if (wholeWindow) {
            completeFromMillis = Math.min(completeFromMillis, nowMillis);
        }
    }

    /** Returns the processes known to have left the roster within the window. */
    synchronized Set<VmStart> departedProcesses() {
        return new HashSet<>(departedAtMillis.keySet());
    }

    /** Returns whether the history includes every process that left within the window. */
    synchronized boolean coversWholeWindow(long nowMillis) {
        return nowMillis >= completeFromMillis;
    }
}
