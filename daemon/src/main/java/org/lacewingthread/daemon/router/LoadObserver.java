package org.lacewingthread.daemon.router;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.dispatch.LoadReport;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.FullResponse;

/** Reads the load that servers report in their responses. Runs on the traffic thread. */
final class LoadObserver {
    private static final int MAX_LOGGED_CHARS = 100;
    /** Servers whose unreadable load is logged; others beyond this number are only counted. */
    private static final int MAX_LOGGED_SERVERS = 1_000;

    private final String headerName;
    private final EventLog events;
    private final RouterMetrics metrics;
    private final Set<ServerStart> serversWithUnreadableLoad = new HashSet<>();

    LoadObserver(String headerName, EventLog events, RouterMetrics metrics) {
        this.headerName = headerName;
        this.events = events;
        this.metrics = metrics;
    }

    /** Returns the load that a response reports; empty if it reports none, or in a form that can't be read. */
    Optional<LoadReport> read(ServerStart server, FullResponse response) {
        String text = response.headers().get(headerName);
        if (text == null) {
            return Optional.empty();
        }
        Optional<LoadReport> report = RequestHeaders.parseLoad(text);
        if (report.isEmpty()) {
            metrics.onUnreadableLoad();
            logOnce(server, text);
        }
        return report;
    }

    private void logOnce(ServerStart server, String text) {
        if (serversWithUnreadableLoad.size() < MAX_LOGGED_SERVERS && serversWithUnreadableLoad.add(server)) {
            events.write(
                    "server.load-unreadable",
                    "server",
                    server,
                    "load",
                    text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARS)));
        }
    }
}
