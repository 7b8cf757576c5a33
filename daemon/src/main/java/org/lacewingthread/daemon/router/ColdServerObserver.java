package org.lacewingthread.daemon.router;

import org.lacewingthread.core.dispatch.ColdServers;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.FullResponse;

/**
 * Reads in responses whether servers are cold, and logs those whose rate is limited for that. Runs on the traffic thread.
 */
final class ColdServerObserver {
    private final String headerName;
    private final ColdServers coldServers;
    private final LimitLink limitLink;
    private final EventLog events;

    ColdServerObserver(String headerName, ColdServers coldServers, LimitLink limitLink, EventLog events) {
        this.headerName = headerName;
        this.coldServers = coldServers;
        this.limitLink = limitLink;
        this.events = events;
    }

    /** Passes on that a server is cold, if its response says so. */
    void onResponse(ServerStart server, FullResponse response) {
        RequestHeaders.parseDeadlineMillis(response.headers(), headerName)
                .filter(millis -> millis > 0)
                .ifPresent(millis -> limitLink.onSuspectedCold(server, "response"));
    }

    /** Logs the servers that became limited, or no longer are, since the last call. */
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
