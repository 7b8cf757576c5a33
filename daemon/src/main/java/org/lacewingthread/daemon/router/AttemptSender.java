package org.lacewingthread.daemon.router;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.ConnectionPool;
import org.lacewingthread.daemon.http.FullResponse;
import org.lacewingthread.daemon.http.OutboundConnection;
import org.lacewingthread.daemon.http.ResponseListener;

/** Sends attempts of requests to backend servers. All methods run on the traffic thread. */
final class AttemptSender {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HeaderNames headerNames;
    private final ConnectionPool<ServerStart> connections;
    private final RequestDispatcher dispatcher;
    private final LongSupplier clockMillis;
    private final RequestEngine engine;
    private final FinalSendCheck finalCheck;
    private final EventLog events;

    AttemptSender(
            HeaderNames headerNames,
            ConnectionPool<ServerStart> connections,
            RequestDispatcher dispatcher,
            LongSupplier clockMillis,
            RequestEngine engine,
            FinalSendCheck finalCheck,
            EventLog events) {
        this.headerNames = headerNames;
        this.connections = connections;
        this.dispatcher = dispatcher;
        this.clockMillis = clockMillis;
        this.engine = engine;
        this.finalCheck = finalCheck;
        this.events = events;
    }

    /** Starts an attempt at the chosen server; {@link RequestEngine} is told how it ends. */
    void send(ActiveRequest request, Decision.Send decision) {
        acquire(request, request.startAttempt(decision));
    }

    /** Starts an attempt at another server that the hedge policy asked for. */
    void sendHedge(ActiveRequest request, Decision.Send decision) {
        ActiveRequest.Attempt attempt = request.startAttempt(decision);
        attempt.hedge = true;
        acquire(request, attempt);
    }

    /** Acquires a connection that did not carry the request before, since a second response to it has the same id. */
    private void acquire(ActiveRequest request, ActiveRequest.Attempt attempt) {
        ServerEntry server = attempt.decision.server();
        connections.acquire(server.start(), address(server), (connection, failure) -> {
            if (connection != null && request.usedConnections.contains(connection)) {
                connection.close();
                acquire(request, attempt);
            } else {
                onConnected(request, attempt, connection, failure);
            }
        });
    }

    private void onConnected(
            ActiveRequest request, ActiveRequest.Attempt attempt, OutboundConnection connection, Throwable failure) {
        Decision.Send decision = attempt.decision;
        if (attempt.ended) {
            if (connection != null) {
                connections.release(decision.server().start(), connection);
            }
        } else if (connection == null) {
            engine.onFailure(request, attempt, AttemptResult.NOT_SENT, "no connection: " + failure.getMessage());
        } else if (!dispatcher.maySend(decision, clockMillis.getAsLong())) {
            connections.release(decision.server().start(), connection);
            engine.onFailure(request, attempt, AttemptResult.WITHHELD, "the server no longer takes the request");
        } else if (!engine.crashGuard().maySend(request)) {
            connections.release(decision.server().start(), connection);
            engine.onFailure(request, attempt, AttemptResult.WITHHELD, "copies of the request end servers");
        } else {
            sendIfCleared(request, attempt, connection);
        }
    }

    private void sendIfCleared(ActiveRequest request, ActiveRequest.Attempt attempt, OutboundConnection connection) {
        Optional<FinalSendCheck.Clearance> clearance = finalCheck.tryClear(request);
        if (clearance.isPresent() && !attempt.ended) {
            send(request, attempt, connection, clearance.get());
            return;
        }
        connections.release(attempt.decision.server().start(), connection);
        engine.endAttempt(attempt, AttemptResult.WITHHELD, Optional.empty());
    }

    private static InetSocketAddress address(ServerEntry server) {
        return new InetSocketAddress(server.host(), server.port());
    }

    private void send(
            ActiveRequest request,
            ActiveRequest.Attempt attempt,
            OutboundConnection connection,
            FinalSendCheck.Clearance clearance) {
        attempt.connection = connection;
        request.usedConnections.add(connection);
        logIfLeaving(request, attempt);
        engine.links().onSent();
        engine.crashGuard().onSent(request, attempt);
        request.sentAttempts++;
        attempt.sentMillis = OptionalLong.of(clockMillis.getAsLong());
        request.lastSentMillis = attempt.sentMillis;
        OutboundConnection.EchoedHeader echoedHeader =
                new OutboundConnection.EchoedHeader(headerNames.requestId(), request.requestId);
        connection.send(buildRequest(request, attempt, clearance), echoedHeader, new ResponseListener() {
            @Override
            public void onResponse(FullResponse response) {
                engine.onResponse(request, attempt, response);
            }

            @Override
            public void onFailure(boolean sent, String reason) {
                if (!sent) {
                    request.sentAttempts--;
                    attempt.connection = null;
                    // The other idle connections most likely were reset as well.
                    connections.closeIdle(attempt.decision.server().start());
                }
                engine.onFailure(request, attempt, sent ? AttemptResult.BROKEN : AttemptResult.UNWRITTEN, reason);
            }
        });
    }

    /** Logs a request to a server that is leaving, with the time for which it still takes them. */
    private void logIfLeaving(ActiveRequest request, ActiveRequest.Attempt attempt) {
        long nowMillis = clockMillis.getAsLong();
        dispatcher
                .acceptsUntilMillis(attempt.decision.server().start())
                .ifPresent(until -> events.write(
                        "request.sent-to-leaving-server",
                        "request",
                        request.requestId,
                        "server",
                        attempt.decision.server().start(),
                        "accepts_for_ms",
                        until - nowMillis,
                        "since_decision_ms",
                        (System.nanoTime() - attempt.startedNanos) / NANOS_PER_MILLI));
    }

    private FullHttpRequest buildRequest(
            ActiveRequest request, ActiveRequest.Attempt attempt, FinalSendCheck.Clearance clearance) {
        FullHttpRequest outbound = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.callerRequest.method()),
                request.callerRequest.target(),
                request.callerRequest.body().retainedDuplicate());
        RequestHeaders.copyEndToEnd(request.callerRequest.headers(), outbound.headers());
        outbound.headers().set(headerNames.deadlineMillis(), clearance.leftMillis());
        outbound.headers().set(headerNames.requestId(), request.requestId);
        outbound.headers()
                .set(
                        headerNames.expectedServer(),
                        attempt.decision.server().start().server().value());
        boolean hasBody = request.callerRequest.body().readableBytes() > 0
                || request.callerRequest.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || request.callerRequest.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody) {
            outbound.headers()
                    .set(
                            HttpHeaderNames.CONTENT_LENGTH,
                            request.callerRequest.body().readableBytes());
        }
        return outbound;
    }
}
