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
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections of callers over real sockets, with a sink that answers when the test says so. */
class CallerListenerTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;

    private final NioEventLoopGroup traffic = new NioEventLoopGroup(1);
    private final Sink sink = new Sink();
    private CallerListener listener;
    private Socket caller;

    /** Keeps what arrives. */
    private static final class Sink implements RequestSink {
        private final List<CallerRequest> requests = new CopyOnWriteArrayList<>();
        private final List<Integer> failures = new CopyOnWriteArrayList<>();
        private volatile boolean failing;

        @Override
        public void onRequest(CallerRequest request) {
            if (failing) {
                throw new IllegalStateException("made to fail");
            }
            requests.add(request);
        }

        @Override
        public void onCallerGone(CallerRequest request) {}

        @Override
        public void onInvalid(int status, String reason) {}

        @Override
        public void onConnectionFailed(Throwable cause, int unanswered) {
            failures.add(unanswered);
        }
    }

    @BeforeEach
    void open() throws IOException, InterruptedException {
        listener = new CallerListener(sink, () -> System.nanoTime() / 1_000_000);
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

    private void send(String... targets) throws IOException {
        for (String target : targets) {
            caller.getOutputStream()
                    .write(("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        }
    }

    private void answer(int index) {
        CallerRequest request = sink.requests.get(index);
        traffic.execute(() -> request.reply()
                .answer(
                        200,
                        new DefaultHttpHeaders(),
                        Unpooled.copiedBuffer("for " + request.target(), StandardCharsets.US_ASCII)));
    }

    private String readToEnd() throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void answersLeaveInTheOrderOfTheRequests() throws IOException {
        send("/1", "/2");
        await().until(() -> sink.requests.size() == 2);
        answer(1);
        traffic.execute(listener::stop);
        answer(0);
        assertThat(readToEnd()).containsSubsequence("for /1", "close", "for /2");
    }

    @Test
    void aConnectionThatIsNeverIdleTakesNoMoreRequestsOnceTheyAreRefused() throws IOException {
        send("/1", "/2");
        await().until(() -> sink.requests.size() == 2);
        traffic.execute(listener::refuseMore);
        await().until(() -> !listener.isOpen());
        send("/3");
        answer(0);
        answer(1);
        assertThat(readToEnd()).containsSubsequence("for /1", "close", "for /2");
        assertThat(sink.requests).hasSize(2);
    }

    @Test
    void anIdleConnectionIsClosedOnceRequestsAreRefused() throws IOException {
        await().until(() -> listener.connectionCount() == 1);
        traffic.execute(listener::refuseMore);
        assertThat(readToEnd()).isEmpty();
    }

    @Test
    void aConnectionThatFailsIsReportedWithItsUnansweredRequests() throws IOException {
        send("/1");
        await().until(() -> sink.requests.size() == 1);
        sink.failing = true;
        send("/2");
        assertThat(readToEnd()).isEmpty();
        assertThat(sink.failures).containsExactly(2);
    }
}
