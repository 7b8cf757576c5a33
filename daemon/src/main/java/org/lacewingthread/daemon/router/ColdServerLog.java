package org.lacewingthread.daemon.router;

import org.lacewingthread.core.dispatch.ColdServers;
import org.lacewingthread.daemon.events.EventLog;

/** Logs servers whose rate is limited while they are cold. Runs on the traffic thread. */
final class ColdServerLog {
    private final ColdServers coldServers;
    private final EventLog events;

    ColdServerLog(ColdServers coldServers, EventLog events) {
        this.coldServers = coldServers;
        this.events = events;
    }

    /** Logs the changes since the last call. */
    void logChanges() {
        for (ColdServers.Change change : coldServers.takeChanges()) {
            if (change.limited()) {
                events.write("server.cold-limited", "server", change.server(), "per_second", change.perSecond());
            } else {
                events.write(
                        "server.cold-limit-ended",
                        "server",
                        change.server(),
                        "limited_ms",
                        change.limitedMillis(),
                        "sent",
                        change.sent(),
                        "held",
                        change.held());
            }
        }
    }
}
