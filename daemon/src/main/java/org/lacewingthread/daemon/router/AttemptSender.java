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
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.daemon.http.ConnectionPool;
import org.lacewingthread.daemon.http.OutboundConnection;
import org.lacewingthread.daemon.http.ResponseListener;
import org.lacewingthread.daemon.http.WholeResponse;

/** Sends requests to servers. Runs on the traffic thread. */
final class AttemptSender {
    private final HeaderNames headerNames;
    private final ConnectionPool<ServerStart> connections;
    private final LongSupplier clockMillis;
    private final RequestEngine engine;

    AttemptSender(
            HeaderNames names,
            ConnectionPool<ServerStart> connections,
            LongSupplier clockMillis,
            RequestEngine engine) {
        this.headerNames = names;
        this.connections = connections;
        this.clockMillis = clockMillis;
        this.engine = engine;
    }

    void send(RoutedRequest call, Decision.Offer offer) {
        RoutedRequest.Attempt attempt = new RoutedRequest.Attempt(offer, System.nanoTime());
        call.attempt = Optional.of(attempt);
        connections.take(offer.server().start(), address(offer.server()), (connection, failure) -> {
            if (attempt.ended) {
                if (connection != null) {
                    connections.giveBack(offer.server().start(), connection);
                }
            } else if (connection == null) {
                engine.onFailure(call, attempt, false, "no connection: " + failure.getMessage());
            } else {
                send(call, attempt, connection);
            }
        });
    }

    private static InetSocketAddress address(ServerEntry server) {
        return new InetSocketAddress(server.host(), server.port());
    }

    private void send(RoutedRequest call, RoutedRequest.Attempt attempt, OutboundConnection connection) {
        attempt.connection = connection;
        call.sentAttempts++;
        call.lastSentMillis = OptionalLong.of(clockMillis.getAsLong());
        OutboundConnection.EchoedHeader echo =
                new OutboundConnection.EchoedHeader(headerNames.requestId(), call.requestId);
        connection.send(buildRequest(call, attempt), echo, new ResponseListener() {
            @Override
            public void onResponse(WholeResponse response) {
                engine.onResponse(call, attempt, response);
            }

            @Override
            public void onFailure(boolean sent, String reason) {
                if (!sent) {
                    call.sentAttempts--;
                    attempt.connection = null;
                }
                engine.onFailure(call, attempt, sent, reason);
            }
        });
    }

    private FullHttpRequest buildRequest(RoutedRequest call, RoutedRequest.Attempt attempt) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.callerRequest.method()),
                call.callerRequest.target(),
                call.callerRequest.body().retainedDuplicate());
        RequestHeaders.copyEndToEnd(call.callerRequest.headers(), request.headers());
        long leftMillis = Math.max(1, call.deadlineMillis - clockMillis.getAsLong());
        request.headers().set(headerNames.deadlineMillis(), leftMillis);
        request.headers()
                .set(
                        headerNames.expectedServer(),
                        attempt.decision.server().start().server().value());
        boolean hadBody = call.callerRequest.body().readableBytes() > 0
                || call.callerRequest.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || call.callerRequest.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hadBody) {
            request.headers()
                    .set(
                            HttpHeaderNames.CONTENT_LENGTH,
                            call.callerRequest.body().readableBytes());
        }
        return request;
    }
}
