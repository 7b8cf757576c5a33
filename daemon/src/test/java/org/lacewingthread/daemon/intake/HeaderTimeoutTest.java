package org.lacewingthread.daemon.intake;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.serving.CallerLimits;

/** Guards against callers that keep connections by heads that they never complete, over real sockets. */
class HeaderTimeoutTest {
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int LIMIT_MILLIS = 300;

    private final NioEventLoopGroup traffic = new NioEventLoopGroup(1);
    private final List<String> passedOn = new CopyOnWriteArrayList<>();
    private final List<Integer> refused = new CopyOnWriteArrayList<>();
    private CallerListener listener;
    private Socket caller;

    private final CallerRequestHandler handler = new CallerRequestHandler() {
        @Override
        public void onRequest(CallerRequest request) {
            passedOn.add(request.target());
            request.responder().respond(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }

        @Override
        public void onRequestWhileStopping(CallerRequest request) {}

        @Override
        public void onCallerDisconnected(CallerRequest request) {}

        @Override
        public void onInvalidRequest(int status, String reason) {
            refused.add(status);
        }

        @Override
        public void onConnectionFailed(Throwable cause, int unanswered) {}
    };

    @BeforeEach
    void open() throws IOException, InterruptedException {
        listener = new CallerListener(handler, () -> System.nanoTime() / 1_000_000);
        InetSocketAddress address =
                (InetSocketAddress) listener.open(traffic, "127.0.0.1", 0).localAddress();
        caller = new Socket(InetAddress.getLoopbackAddress(), address.getPort());
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    @AfterEach
    void close() throws IOException {
        caller.close();
        traffic.shutdownGracefully();
    }

    private void setLimit() {
        traffic.submit(() ->
                        listener.setLimits(new CallerLimits(16_384, 1 << 20, OptionalLong.of(LIMIT_MILLIS), 60_000)))
                .syncUninterruptibly();
    }

    private void send(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String readToEnd() throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void headThatIsNotCompletedIsRefusedAndItsConnectionCloses() throws IOException {
        setLimit();
        send("GET /1 HTTP/1.1\r\nHost: a\r\n");
        assertThat(readToEnd()).startsWith("HTTP/1.1 408").containsIgnoringCase("connection: close");
        assertThat(refused).containsExactly(408);
        assertThat(passedOn).isEmpty();
    }

    /** Also guards against a limit that each byte extends. */
    @Test
    void headThatDripsAfterAnAnsweredRequestIsRefused() throws Exception {
        setLimit();
        send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\n");
        for (int i = 0; i < 30 && refused.isEmpty(); i++) {
            send("a: " + i + "\r\n");
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertThat(readToEnd()).startsWith("HTTP/1.1 200").contains("HTTP/1.1 408");
        assertThat(passedOn).containsExactly("/1");
    }

    /** The limit is for the head alone, and for a head that has begun. */
    @Test
    void slowBodyAndSilentConnectionAreServed() throws Exception {
        setLimit();
        TimeUnit.MILLISECONDS.sleep(3 * LIMIT_MILLIS);
        send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx");
        TimeUnit.MILLISECONDS.sleep(3 * LIMIT_MILLIS);
        send("y");
        await().until(() -> passedOn.contains("/1"));
        assertThat(refused).isEmpty();
    }

    @Test
    void headMayTakeLongerWithoutTheLimitInTheConfiguration() throws Exception {
        send("GET /1 HTTP/1.1\r\n");
        TimeUnit.MILLISECONDS.sleep(4_000);
        send("Host: a\r\n\r\n");
        await().until(() -> passedOn.contains("/1"));
        assertThat(refused).isEmpty();
    }
}
