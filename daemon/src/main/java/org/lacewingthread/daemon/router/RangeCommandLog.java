package org.lacewingthread.daemon.router;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.GrantOutcome;
import org.lacewingthread.core.keyrange.ReleaseOutcome;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Counts and times all grants and releases of key ranges, and logs all releases and those grants that are not routine
 * renewals. Runs on the control thread.
 */
final class RangeCommandLog {
    /** A grant that takes longer is logged. */
    static final long SLOW_GRANT_MILLIS = 100;

    private static final int MAX_REMEMBERED_FENCES = 4_096;

    private final EventLog events;
    private final RouterMetrics metrics;
    private final int maxRememberedFences;
    /** Fences of granted ranges, least recently used first; each fence belongs to one server and range. */
    private final Map<Long, Boolean> grantedFences = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * The times of a call, by the control clock.
     *
     * @param decidedMillis when the coordinator decided the call
     * @param sentMillis when it was handed to a connection; empty if it never was
     * @param endedMillis when it was answered or given up
     */
    record CallTimes(long decidedMillis, OptionalLong sentMillis, long endedMillis) {
        long elapsedMillis() {
            return endedMillis - decidedMillis;
        }

        Long sentMillisOrNull() {
            return sentMillis.isPresent() ? sentMillis.getAsLong() : null;
        }
    }

    RangeCommandLog(EventLog events, RouterMetrics metrics) {
        this(events, metrics, MAX_REMEMBERED_FENCES);
    }

    /** Creates a log that remembers another number of fences, for tests. */
    RangeCommandLog(EventLog events, RouterMetrics metrics, int maxRememberedFences) {
        this.events = events;
        this.metrics = metrics;
        this.maxRememberedFences = maxRememberedFences;
    }

    /**
     * Records that a grant ended.
     *
     * @param awaited whether the coordinator still awaited the answer
     */
    void onGrantEnded(CoordinatorAction.Grant grant, GrantOutcome outcome, CallTimes times, boolean awaited) {
        metrics.onGrantEnded(grant.service(), outcome, times.elapsedMillis());
        boolean granted = outcome == GrantOutcome.GRANTED;
        boolean firstOfServerAndRange = granted && isFirstWithFence(grant.fence());
        if (granted && !firstOfServerAndRange && times.elapsedMillis() <= SLOW_GRANT_MILLIS && awaited) {
            return;
        }
        events.write(
                "grant.ended",
                "call",
                grant.call(),
                "service",
                grant.service(),
                "server",
                grant.server(),
                "range",
                grant.range(),
                "fence",
                grant.fence(),
                "hold_ms",
                grant.holdMillis(),
                "decided_ms",
                times.decidedMillis(),
                "sent_ms",
                times.sentMillisOrNull(),
                "ended_ms",
                times.endedMillis(),
                "outcome",
                outcome,
                "awaited",
                awaited);
    }

    private boolean isFirstWithFence(long fence) {
        boolean first = grantedFences.put(fence, true) == null;
        if (grantedFences.size() > maxRememberedFences) {
            grantedFences.remove(grantedFences.keySet().iterator().next());
        }
        return first;
    }

    /**
     * Records that a release ended.
     *
     * @param awaited whether the coordinator still awaited the answer
     */
    void onReleaseEnded(CoordinatorAction.Release release, ReleaseOutcome outcome, CallTimes times, boolean awaited) {
        metrics.onReleaseEnded(release.service(), outcome, times.elapsedMillis());
        events.write(
                "release.ended",
                "call",
                release.call(),
                "service",
                release.service(),
                "server",
                release.server(),
                "range",
                release.range(),
                "fence",
                release.fence(),
                "decided_ms",
                times.decidedMillis(),
                "sent_ms",
                times.sentMillisOrNull(),
                "ended_ms",
                times.endedMillis(),
                "outcome",
                outcome,
                "awaited",
                awaited);
    }
}
