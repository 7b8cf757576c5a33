package org.lacewingthread.daemon.router;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.dispatch.DispatchRequest;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.quarantine.RequestFingerprint;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.http.OutboundConnection;
import org.lacewingthread.daemon.intake.CallerRequest;

/** State of one caller's request from its arrival to its response. Used by the traffic thread only. */
final class ActiveRequest {
    final long number;
    final CallerRequest callerRequest;
    final String requestId;
    final Route route;
    final ServiceId service;
    final OptionalInt key;
    /** End of the caller's wait or of the route's timeout, whichever is earlier, counted from the reading of the request. */
    final long deadlineMillis;
    /** Sends the response to the router that relayed the request; empty if it comes from a caller of this VM. */
    final Optional<ResponseSink> relayedBy;

    final Set<ServerId> triedServers = new HashSet<>();
    /** Connections that carried the request, which may bring another response to it. */
    final Set<OutboundConnection> usedConnections = new HashSet<>();

    /** Server and result of each attempt, for the log. */
    final StringBuilder attemptSummary = new StringBuilder();

    /** The request as submitted to the dispatcher, while it waits for a server. */
    Optional<DispatchRequest> queuedRequest = Optional.empty();
    /** The newest attempt under way, or the last one if all have ended; empty until a server is chosen. */
    Optional<Attempt> attempt = Optional.empty();

    /** The newest attempt that another entry VM makes for this one; empty if there was none. */
    Optional<RelayAttempt> relayAttempt = Optional.empty();

    /** All attempts, ended or not, from whose results it follows whether a server may have run the request. */
    private final List<Attempt> attempts = new ArrayList<>();

    private final List<RelayAttempt> relayAttempts = new ArrayList<>();

    /** Entry VMs that the request was relayed to. */
    final Set<RelayPeer> relayedTo = new HashSet<>();

    /** The limited server for which a permit was last asked; empty if none was. */
    Optional<ServerId> limitedServer = Optional.empty();

    /** When the newest attempt was sent; empty before the first one. */
    OptionalLong lastSentMillis = OptionalLong.empty();

    /** Identifies requests that are alike; empty until it is needed. */
    Optional<RequestFingerprint> fingerprint = Optional.empty();

    /** Whether this is the only copy of a suspected request that may be sent now. */
    boolean onTrial;

    int sentAttempts;
    /** Attempts beyond {@link #sentAttempts} that another entry VM was handed and may have made. */
    int handedOverAttempts;
    /** Attempts that failed before the request was sent. */
    int unsentAttempts;

    boolean finished;
    /** Called when the request is finished. */
    Runnable onFinished = () -> {};
    /** Whether the caller disconnected; an at-most-once request that a server may be running is still awaited. */
    boolean callerDisconnected;

    /** One attempt to run the request on a server. */
    static final class Attempt {
        final Decision.Send decision;
        final long startedNanos;
        OutboundConnection connection;
        /** When it was sent; empty before that. */
        OptionalLong sentMillis = OptionalLong.empty();

        boolean ended;
        private boolean mayHaveRunAtEnd;
        /** Whether the server counts as full since the answer was overdue. */
        boolean overdue;

        /** Whether the request was to be sent to another server as well, since the answer was overdue. */
        boolean repeated;

        /** Whether the hedge policy asked for it, beside an earlier attempt. */
        boolean hedge;

        /** Crashes in a row under the request that were known when it was sent. */
        int knownCrashRounds;

        Attempt(Decision.Send decision, long startedNanos) {
            this.decision = decision;
            this.startedNanos = startedNanos;
        }

        /**
         * Resets the connection, which most servers take as the order to stop; only for a finished request.
         *
         * @param timedOut whether the server had all the time that the request has
         * @return result of the attempt
         */
        AttemptResult abort(boolean timedOut) {
            // A server that began to answer and did not end within the time may be sending without end.
            boolean endless = timedOut && connection != null && connection.isReceiving();
            if (connection != null) {
                connection.abort();
            }
            return endless ? AttemptResult.BROKEN : AttemptResult.ABANDONED;
        }

        /** Ends the attempt; later, its connection may carry other requests. */
        void end(AttemptResult result) {
            mayHaveRunAtEnd = result.mayHaveRun(mayHaveBeenSent());
            ended = true;
        }

        private boolean mayHaveBeenSent() {
            return connection != null && connection.mayHaveSent();
        }

        /** Returns whether the server may have run the request. */
        boolean mayHaveRun() {
            return ended ? mayHaveRunAtEnd : mayHaveBeenSent();
        }

        /** Appends the server and the attempt's result. */
        void addToSummary(StringBuilder summary, String result) {
            summary.append(' ')
                    .append(decision.server().start().server())
                    .append(':')
                    .append(result);
        }
    }

    ActiveRequest(
            long number,
            CallerRequest callerRequest,
            String requestId,
            Route route,
            ServiceId service,
            OptionalInt key,
            long deadlineMillis,
            Optional<ResponseSink> relayedBy) {
        this.number = number;
        this.callerRequest = callerRequest;
        this.requestId = requestId;
        this.route = route;
        this.service = service;
        this.key = key;
        this.deadlineMillis = deadlineMillis;
        this.relayedBy = relayedBy;
    }

    /** Creates an attempt at the chosen server, beside those under way. */
    Attempt startAttempt(Decision.Send decision) {
        Attempt started = new Attempt(decision, System.nanoTime());
        attempts.add(started);
        triedServers.add(decision.server().start().server());
        attempt = Optional.of(started);
        return started;
    }

    /** Returns the attempts of this VM whose response may still come, oldest first. */
    List<Attempt> openAttempts() {
        return attempts.stream().filter(started -> !started.ended).toList();
    }

    /** Makes the newest attempt that is under way the current one, if there is one. */
    void selectOpenAttempt() {
        openAttempts().stream().reduce((older, newer) -> newer).ifPresent(newest -> attempt = Optional.of(newest));
    }

    /** Returns whether an attempt at a server is under way. */
    boolean isUnderWayAt(ServerStart server) {
        return openAttempts().stream()
                .anyMatch(open -> open.decision.server().start().equals(server));
    }

    /** Returns the time up to which the caller waits even if the request arrived as early as it can have. */
    long sendUntilMillis() {
        return deadlineMillis - (callerRequest.readMillis() - callerRequest.arrivedMillis());
    }

    /** Returns whether a server may be at work on an attempt of this VM that has not ended. */
    boolean isAtServer() {
        return openAttempts().stream().anyMatch(Attempt::mayHaveRun);
    }

    /** Returns whether a response may still come, from a server or from another entry VM. */
    boolean isAwaited() {
        return attempts.stream().anyMatch(started -> !started.ended) || isRelayPending();
    }

    /** Sets the newest attempt that another entry VM makes for this one. */
    void startRelayAttempt(RelayAttempt started) {
        relayAttempt = Optional.of(started);
        relayAttempts.add(started);
    }

    /** Returns whether a server may have run the request, in an attempt of this VM or of one that it was relayed to. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun)
                || relayAttempts.stream().anyMatch(RelayAttempt::mayHaveRun);
    }

    /** Returns how many more servers the request may be sent to, by this VM and those that it is relayed to. */
    int attemptsLeft() {
        return route.maxAttempts() - sentAttempts - handedOverAttempts;
    }

    /** Returns whether another entry VM is at work on the request. */
    boolean isRelayPending() {
        return relayAttempt.filter(relay -> !relay.isEnded()).isPresent();
    }

    /** Returns the request in the form that the dispatcher takes. */
    DispatchRequest toDispatchRequest() {
        long targetAtMillis = route.targetAtMillis(callerRequest.arrivedMillis(), deadlineMillis);
        return new DispatchRequest(
                number, service, key, route.priority(), targetAtMillis, deadlineMillis, triedServers);
    }
}
