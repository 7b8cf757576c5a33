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
import org.lacewingthread.daemon.http.FullResponse;
import org.lacewingthread.daemon.http.OutboundConnection;
import org.lacewingthread.daemon.http.ResponseListener;

/** Sends requests to servers. Runs on the traffic thread. */
final class AttemptSender {
    private final HeaderNames names;
    private final ConnectionPool<ServerStart> connections;
    private final LongSupplier clockMillis;
    private final RequestEngine engine;

    AttemptSender(
            HeaderNames names,
            ConnectionPool<ServerStart> connections,
            LongSupplier clockMillis,
            RequestEngine engine) {
        this.names = names;
        this.connections = connections;
        this.clockMillis = clockMillis;
        this.engine = engine;
    }

    void send(RoutedCall call, Decision.Send offer) {
        RoutedCall.Attempt attempt = new RoutedCall.Attempt(offer, System.nanoTime());
        call.attempt = Optional.of(attempt);
        connections.acquire(offer.server().start(), address(offer.server()), (connection, failure) -> {
            if (attempt.ended) {
                if (connection != null) {
                    connections.release(offer.server().start(), connection);
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

    private void send(RoutedCall call, RoutedCall.Attempt attempt, OutboundConnection connection) {
        attempt.connection = connection;
        call.sends++;
        call.lastSentMillis = OptionalLong.of(clockMillis.getAsLong());
        OutboundConnection.EchoedHeader echo = new OutboundConnection.EchoedHeader(names.requestId(), call.requestId);
        connection.send(request(call, attempt), echo, new ResponseListener() {
            @Override
            public void onResponse(FullResponse response) {
                engine.onResponse(call, attempt, response);
            }

            @Override
            public void onFailure(boolean sent, String reason) {
                if (!sent) {
                    call.sends--;
                    attempt.connection = null;
                }
                engine.onFailure(call, attempt, sent, reason);
            }
        });
    }

    private FullHttpRequest request(RoutedCall call, RoutedCall.Attempt attempt) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.caller.method()),
                call.caller.target(),
                call.caller.body().retainedDuplicate());
        RequestHeaders.copyEndToEnd(call.caller.headers(), request.headers());
        long leftMillis = Math.max(1, call.deadlineMillis - clockMillis.getAsLong());
        request.headers().set(names.deadlineMillis(), leftMillis);
        request.headers()
                .set(
                        names.expectedServer(),
                        attempt.offer.server().start().server().value());
        boolean hadBody = call.caller.body().readableBytes() > 0
                || call.caller.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || call.caller.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hadBody) {
            request.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, call.caller.body().readableBytes());
        }
        return request;
    }
}
