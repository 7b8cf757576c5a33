package org.lacewingthread.daemon.router;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.FullResponse;

/**
 * Reads in responses that a server wants no requests for a while, or that it leaves. Each response is read before its
 * attempt is judged, so that one to an abandoned attempt counts too. Runs on the traffic thread.
 */
final class RestObserver {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final double MILLIS_PER_SECOND = 1e3;
    /** Longest rest that is kept. A server whose clock or header is wrong must not be lost for good. */
    private static final double MAX_REST_SECONDS = 3_600;

    private static final Pattern SECONDS = Pattern.compile("\\s*[0-9]{1,15}(\\.[0-9]{1,15})?\\s*");
    private static final int MAX_LOGGED_CHARS = 100;
    /** Servers whose unreadable rest is logged; others beyond this number are not. */
    private static final int MAX_LOGGED_SERVERS = 1_000;

    private final HeaderNames headerNames;
    private final RequestDispatcher dispatcher;
    private final EventLog events;
    private final Consumer<ServerStart> leavingListener;
    private final Set<ServerStart> serversWithUnreadableRest = new HashSet<>();

    /**
     * Creates an observer.
     *
     * @param leavingListener called for each response that tells that its server leaves
     */
    RestObserver(
            HeaderNames headerNames,
            RequestDispatcher dispatcher,
            EventLog events,
            Consumer<ServerStart> leavingListener) {
        this.headerNames = headerNames;
        this.dispatcher = dispatcher;
        this.events = events;
        this.leavingListener = leavingListener;
    }

    /** Reads a response that is passed on, whichever entry VM sent the request. */
    void onForwarded(ServerStart server, FullResponse response) {
        if (HeaderNames.LEAVING.equals(response.headers().get(headerNames.leaving()))) {
            leavingListener.accept(server);
        }
    }

    /** Reads a response to a request that this VM sent. */
    void onResponse(ServerStart server, FullResponse response, long nowMillis) {
        onForwarded(server, response);
        String text = response.headers().get(headerNames.rest());
        if (response.status() != SERVICE_UNAVAILABLE || text == null) {
            return;
        }
        Optional<Long> restMillis = parseMillis(text);
        if (restMillis.isEmpty()) {
            logUnreadable(server, text);
        } else if (restMillis.get() > 0 && dispatcher.onRestAsked(server, nowMillis + restMillis.get())) {
            events.write("server.rest-asked", "server", server, "rest_ms", restMillis.get());
        }
    }

    /** Parses seconds, which may have decimals; empty for dates, negative numbers and other text. */
    private static Optional<Long> parseMillis(String text) {
        if (!SECONDS.matcher(text).matches()) {
            return Optional.empty();
        }
        double seconds = Math.min(MAX_REST_SECONDS, Double.parseDouble(text.trim()));
        return Optional.of((long) Math.ceil(seconds * MILLIS_PER_SECOND));
    }

    private void logUnreadable(ServerStart server, String text) {
        if (serversWithUnreadableRest.size() < MAX_LOGGED_SERVERS && serversWithUnreadableRest.add(server)) {
            events.write(
                    "server.rest-unreadable",
                    "server",
                    server,
                    "rest",
                    text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARS)));
        }
    }
}
