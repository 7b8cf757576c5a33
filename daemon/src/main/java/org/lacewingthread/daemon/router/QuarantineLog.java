package org.lacewingthread.daemon.router;

import java.util.List;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.RequestQuarantine;
import org.lacewingthread.daemon.events.EventLog;

/** Shows operators what the quarantine knows: a line for each change, and all records. Runs on the traffic thread. */
final class QuarantineLog {
    private final EventLog events;
    private final RequestQuarantine quarantine;
    private final LongSupplier clockUnixMillis;
    private volatile List<CrashRecord> records = List.of();
    private boolean recordsChanged;

    QuarantineLog(EventLog events, RequestQuarantine quarantine, LongSupplier clockUnixMillis) {
        this.events = events;
        this.quarantine = quarantine;
        this.clockUnixMillis = clockUnixMillis;
    }

    /** Logs a change that this VM learnt of, unless the request is one of many whose server ended once. */
    void writeLearnt(String event, CrashRecord known) {
        recordsChanged = true;
        if (known.isSuspect()) {
            write(event, known, null);
        }
    }

    /**
     * Logs a change.
     *
     * @param requestId id of the copy that brought it; null if there is none
     */
    void write(String event, CrashRecord known, String requestId) {
        recordsChanged = true;
        events.write(
                event,
                "request",
                requestId,
                "fingerprint",
                known.fingerprint(),
                "description",
                known.description(),
                "ended_servers",
                known.endedServers().size(),
                "rounds",
                known.rounds(),
                "rejected",
                known.isRejected(),
                "trials",
                known.trials(),
                "last_crash_ago_ms",
                clockUnixMillis.getAsLong() - known.lastCrashUnixMillis());
    }

    /** Logs that a server which counted as ended has answered. */
    void writeServerRuns(ServerStart server) {
        recordsChanged = true;
        events.write("quarantine.server-runs", "server", server);
    }

    /** Renews what {@link #records} returns, if anything has changed. */
    void publishRecords() {
        if (recordsChanged) {
            recordsChanged = false;
            records = quarantine.all();
        }
    }

    /** Returns all records as of the last {@link #publishRecords}; may be called on any thread. */
    List<CrashRecord> records() {
        return records;
    }
}
