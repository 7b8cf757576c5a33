package org.lacewingthread.daemon.router;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.NamedLimit;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.FullResponse;

/** Reads the limits that servers name in their responses. Runs on the traffic thread. */
final class LimitObserver {
    private static final int MAX_LOGGED_CHARS = 100;
    /** Servers whose unreadable limit is logged; others beyond this number are not. */
    private static final int MAX_LOGGED_SERVERS = 1_000;

    private final List<String> headerNames;
    private final RequestDispatcher dispatcher;
    private final EventLog events;
    private final Consumer<ServerStart> endListener;
    private final Set<ServerStart> serversWithUnreadableLimit = new HashSet<>();

    LimitObserver(
            List<String> headerNames,
            RequestDispatcher dispatcher,
            EventLog events,
            Consumer<ServerStart> endListener) {
        this.headerNames = headerNames;
        this.dispatcher = dispatcher;
        this.events = events;
        this.endListener = endListener;
    }

    /**
     * Passes the limit of a response to the dispatcher. A response without one ends the server's limit only if the server
     * has run the request, since other responses may not name it.
     *
     * @param sentAtMillis when the request was sent
     */
    void onResponse(
            ServerStart server, FullResponse response, AttemptResult result, long sentAtMillis, long nowMillis) {
        Optional<String> text = RequestHeaders.limitText(response.headers(), headerNames);
        if (text.isEmpty()) {
            if (result == AttemptResult.ANSWERED && dispatcher.onNoLimitNamed(server, sentAtMillis)) {
                events.write("server.limit-ended", "server", server);
                endListener.accept(server);
            }
            return;
        }
        Optional<NamedLimit> limit = RequestHeaders.parseLimit(text.get());
        if (limit.isEmpty()) {
            logUnreadable(server, text.get());
        } else if (dispatcher.onLimitNamed(server, limit.get(), nowMillis)) {
            events.write(
                    "server.limit-named",
                    "server",
                    server,
                    "per_second",
                    limit.get().perSecond());
        }
    }

    private void logUnreadable(ServerStart server, String text) {
        if (serversWithUnreadableLimit.size() < MAX_LOGGED_SERVERS && serversWithUnreadableLimit.add(server)) {
            events.write(
                    "server.limit-unreadable",
                    "server",
                    server,
                    "limit",
                    text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARS)));
        }
    }
}
