package org.lacewingthread.daemon.router;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.RequestFingerprint;
import org.lacewingthread.core.quarantine.RequestQuarantine;

/**
 * Tells the other entry VMs again of servers that ended under a request here, and of acquittals, since a datagram may be
 * lost, and a new leader doesn't know all VMs yet. Runs on the traffic thread.
 */
final class CrashRecordRepeater {
    /** Times after the first message; the last one is later than a new leader's first reports. */
    private static final List<Long> DELAYS_MILLIS = List.of(200L, 1_500L);

    private final RequestQuarantine quarantine;
    private final CrashRecordLink link;
    private final Deque<Repeat> repeats = new ArrayDeque<>();

    /** A message to repeat: the acquittal, if there is one, and otherwise what is known then. */
    private record Repeat(RequestFingerprint fingerprint, Optional<CrashRecord> acquitted, long atMillis) {}

    CrashRecordRepeater(RequestQuarantine quarantine, CrashRecordLink link) {
        this.quarantine = quarantine;
        this.link = link;
    }

    /** Records that a server ended here. */
    void onCrash(CrashRecord changed, long nowMillis) {
        add(changed.fingerprint(), Optional.empty(), nowMillis);
    }

    /** Records that a request was acquitted here. */
    void onCleared(CrashRecord last, long nowMillis) {
        if (last.isSuspect()) {
            add(last.fingerprint(), Optional.of(last), nowMillis);
        }
    }

    private void add(RequestFingerprint fingerprint, Optional<CrashRecord> acquitted, long nowMillis) {
        DELAYS_MILLIS.forEach(delay -> repeats.add(new Repeat(fingerprint, acquitted, nowMillis + delay)));
    }

    /** Repeats what is due, but no crashes of a request that has been acquitted meanwhile. */
    void tick(long nowMillis) {
        if (repeats.isEmpty()) {
            return;
        }
        List<Repeat> due = repeats.stream()
                .filter(repeat -> nowMillis >= repeat.atMillis())
                .toList();
        repeats.removeAll(due);
        for (Repeat repeat : due) {
            repeat.acquitted().ifPresentOrElse(link::repeatCleared, () -> quarantine
                    .find(repeat.fingerprint())
                    .ifPresent(link::repeat));
        }
    }
}
