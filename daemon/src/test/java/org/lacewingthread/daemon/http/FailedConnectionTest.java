package org.lacewingthread.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections that end while a request is under way. */
class FailedConnectionTest {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** More than the sockets of both sides hold, so that a part of the request stays unsent. */
    private static final int LARGE_BODY_BYTES = 32 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = group.next();
    private final CompletableFuture<String> howServerSawTheEnd = new CompletableFuture<>();
    private final CompletableFuture<Boolean> failedAsSent = new CompletableFuture<>();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void serve(ScriptedServer.Exchange exchange, String response) throws IOException, InterruptedException {
        exchange.readRequest();
        exchange.write(response);
        failedAsSent.join();
        try {
            exchange.readToEnd();
            howServerSawTheEnd.complete("the rest and an orderly end");
        } catch (IOException e) {
            howServerSawTheEnd.complete("reset");
        }
    }

    private void send(ScriptedServer server, Consumer<OutboundConnection> afterSending) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[LARGE_BODY_BYTES]));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, LARGE_BODY_BYTES);
        eventLoop.execute(() -> OutboundConnection.open(
                eventLoop,
                "127.0.0.1",
                server.address().getPort(),
                CONNECT_TIMEOUT_MILLIS,
                new ResponseMemory(1 << 20),
                (connection, failure) -> {
                    connection.send(request, null, new ResponseListener() {
                        @Override
                        public void onResponse(FullResponse response) {
                            failedAsSent.completeExceptionally(new AssertionError("unexpected response"));
                        }

                        @Override
                        public void onFailure(boolean sent, String reason) {
                            failedAsSent.complete(sent);
                        }
                    });
                    afterSending.accept(connection);
                }));
    }

    /** Guards against unsent bytes that the kernel delivers after the request has ended, for example a late grant. */
    @Test
    void connectionThatFailsWithARequestUnderWayIsReset() throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> serve(exchange, "no\r\n\r\n"))) {
            send(server, connection -> {});
            assertThat(failedAsSent.get(10, TimeUnit.SECONDS)).isTrue();
            assertThat(howServerSawTheEnd.get(10, TimeUnit.SECONDS)).isEqualTo("reset");
        }
    }

    /** Guards against the same when the owner of the connection gives it up. */
    @Test
    void connectionThatIsClosedWithARequestUnderWayIsReset() throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> serve(exchange, ""))) {
            send(server, OutboundConnection::close);
            assertThat(failedAsSent.get(10, TimeUnit.SECONDS)).isTrue();
            assertThat(howServerSawTheEnd.get(10, TimeUnit.SECONDS)).isEqualTo("reset");
        }
    }
}
