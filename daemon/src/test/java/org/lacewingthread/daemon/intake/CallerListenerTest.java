package org.lacewingthread.daemon.intake;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.serving.CallerLimits;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.daemon.reading.WatchedLoop;

/** Tests caller connections over real sockets; the test decides when each request is answered. */
class CallerListenerTest {
    private static final ResponseStatus OK = ResponseStatus.ofServer(200).orElseThrow();
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    /** More than the buffers of a connection hold. */
    private static final int LARGE_BODY_BYTES = 16 << 20;

    private static final long SETTLE_MILLIS = 300;
    /** Unanswered requests at which the reading of a connection pauses. */
    private static final int PIPELINED = 64;

    private final WatchedLoop watched =
            new WatchedLoop("traffic", () -> System.nanoTime() / 1_000_000, sinceLastMillis -> {});
    private final EventLoop traffic = watched.eventLoop();
    private final RecordingRequestHandler requestHandler = new RecordingRequestHandler();
    private CallerListener listener;
    private Socket caller;

    /** Records requests and connection failures; throws on request when {@code failing} is set. */
    private static final class RecordingRequestHandler implements CallerRequestHandler {
        private final List<CallerRequest> requests = new CopyOnWriteArrayList<>();
        private final List<CallerRequest> disconnected = new CopyOnWriteArrayList<>();
        private final List<Integer> failures = new CopyOnWriteArrayList<>();
        private volatile boolean failing;

        @Override
        public void onRequest(CallerRequest request) {
            if (failing) {
                throw new IllegalStateException("request handler failure set by the test");
            }
            requests.add(request);
        }

        @Override
        public void onRequestWhileStopping(CallerRequest request) {
            request.responder().respond(ResponseStatus.notRun(503), new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }

        @Override
        public void onCallerDisconnected(CallerRequest request) {
            disconnected.add(request);
        }

        @Override
        public void onInvalidRequest(int status, String reason) {}

        @Override
        public void onConnectionFailed(Throwable cause, int unanswered) {
            failures.add(unanswered);
        }
    }

    @BeforeEach
    void open() throws IOException, InterruptedException {
        listener = new CallerListener(requestHandler, () -> System.nanoTime() / 1_000_000);
        InetSocketAddress address =
                (InetSocketAddress) listener.open(watched, "127.0.0.1", 0).localAddress();
        caller = new Socket(InetAddress.getLoopbackAddress(), address.getPort());
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    @AfterEach
    void close() throws IOException {
        caller.close();
        watched.close();
    }

    private void send(String... targets) throws IOException {
        for (String target : targets) {
            caller.getOutputStream()
                    .write(("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        }
    }

    private void respond(int index) {
        CallerRequest request = requestHandler.requests.get(index);
        traffic.execute(() -> request.responder()
                .respond(
                        OK,
                        new DefaultHttpHeaders(),
                        Unpooled.copiedBuffer("for " + request.target(), StandardCharsets.US_ASCII)));
    }

    private String readToEnd() throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void responsesAreWrittenInRequestOrder() throws IOException {
        send("/1", "/2");
        await().until(() -> requestHandler.requests.size() == 2);
        respond(1);
        traffic.execute(listener::closeAfterNextResponse);
        respond(0);
        assertThat(readToEnd()).containsSubsequence("for /1", "close", "for /2");
    }

    /** Guards against memory filled with large responses to a caller that sends requests and reads nothing. */
    @Test
    void noFurtherRequestsAreReadWhileTheCallerDoesNotTakeItsResponses() throws IOException {
        send("/1");
        await().until(() -> requestHandler.requests.size() == 1);
        byte[] largeBody = new byte[LARGE_BODY_BYTES];
        CallerRequest first = requestHandler.requests.get(0);
        traffic.submit(() -> first.responder().respond(OK, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(largeBody)))
                .syncUninterruptibly();
        send("/2", "/3");
        await().during(SETTLE_MILLIS, TimeUnit.MILLISECONDS).until(() -> requestHandler.requests.size() == 1);
        caller.getInputStream().readNBytes(LARGE_BODY_BYTES);
        await().until(() -> requestHandler.requests.size() == 3);
    }

    /** Guards against requests at servers whose caller left while the reading of its connection was paused. */
    @Test
    void departureIsNoticedWhileReadingIsPaused() throws IOException {
        String[] targets = new String[PIPELINED];
        Arrays.setAll(targets, index -> "/" + index);
        send(targets);
        await().until(() -> requestHandler.requests.size() >= PIPELINED);
        caller.close();
        await().atMost(1, TimeUnit.SECONDS).until(() -> requestHandler.disconnected.size() >= PIPELINED);
    }

    /** Guards against requests that are lost because they were read while reading was paused. */
    @Test
    void requestsThatWereReadWhileReadingWasPausedAreHandledOnceItIsResumed() throws IOException {
        String[] targets = new String[PIPELINED];
        Arrays.setAll(targets, index -> "/" + index);
        send(targets);
        await().until(() -> requestHandler.requests.size() == PIPELINED);
        send("/next");
        await().during(SETTLE_MILLIS, TimeUnit.MILLISECONDS).until(() -> requestHandler.requests.size() == PIPELINED);
        for (int i = 0; i < PIPELINED; i++) {
            respond(i);
        }
        await().until(() -> requestHandler.requests.size() == PIPELINED + 1);
        assertThat(requestHandler.requests.get(PIPELINED).target()).isEqualTo("/next");
    }

    @Test
    void drainAnswersPendingRequestsAndIgnoresLaterOnes() throws IOException {
        send("/1", "/2");
        await().until(() -> requestHandler.requests.size() == 2);
        traffic.submit(listener::drain).syncUninterruptibly();
        send("/3");
        respond(0);
        respond(1);
        assertThat(readToEnd()).containsSubsequence("for /1", "close", "for /2");
        assertThat(requestHandler.requests).hasSize(2);
    }

    /** Guards against connections that wait to be accepted when a busy process stops, and are reset without an answer. */
    @Test
    void connectionsThatWaitToBeAcceptedWhenTheProcessStopsAreRefused() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch connected = new CountDownLatch(1);
        traffic.execute(() -> {
            held.countDown();
            awaitUninterruptibly(connected);
        });
        held.await();
        List<Socket> late = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), caller.getPort());
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            late.add(socket);
        }
        traffic.execute(listener::drain);
        connected.countDown();
        for (Socket socket : late) {
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 503");
            socket.close();
        }
        assertThat(requestHandler.requests).isEmpty();
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        boolean counted = false;
        while (!counted) {
            try {
                counted = latch.await(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Test
    void drainClosesIdleConnections() throws IOException {
        await().until(() -> listener.connectionCount() == 1);
        traffic.execute(listener::drain);
        assertThat(readToEnd()).isEmpty();
    }

    @Test
    void connectionFailureIsReportedWithUnansweredRequestCount() throws IOException {
        send("/1");
        await().until(() -> requestHandler.requests.size() == 1);
        requestHandler.failing = true;
        send("/2");
        assertThat(readToEnd()).isEmpty();
        assertThat(requestHandler.failures).containsExactly(2);
    }

    private void setHeaderTimeout() {
        CallerLimits limits = new CallerLimits(16_384, 1 << 20, OptionalLong.of(SETTLE_MILLIS), 60_000);
        traffic.submit(() -> listener.setLimits(limits)).syncUninterruptibly();
    }

    private void write(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Guards against callers that keep connections by heads that they never complete. */
    @Test
    void headThatIsNotCompletedInTimeIsRefusedAndItsConnectionCloses() throws IOException {
        setHeaderTimeout();
        write("GET /1 HTTP/1.1\r\nHost: a\r\n");
        assertThat(readToEnd()).startsWith("HTTP/1.1 408").containsIgnoringCase("connection: close");
        assertThat(requestHandler.requests).isEmpty();
    }

    /** Guards against a limit that each byte extends, or that holds for the first request alone. */
    @Test
    void headThatDripsAfterAnAnsweredRequestIsRefused() throws Exception {
        setHeaderTimeout();
        write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\n");
        await().until(() -> requestHandler.requests.size() == 1);
        respond(0);
        for (int i = 0; i < 12; i++) {
            write("a: " + i + "\r\n");
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS / 6);
        }
        assertThat(readToEnd()).startsWith("HTTP/1.1 200").contains("HTTP/1.1 408");
        assertThat(requestHandler.requests).hasSize(1);
    }

    /** Guards against a limit for what isn't a head: a connection without a byte, and a body. */
    @Test
    void headerTimeoutHoldsForHeadsAlone() throws Exception {
        setHeaderTimeout();
        TimeUnit.MILLISECONDS.sleep(3 * SETTLE_MILLIS);
        write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx");
        TimeUnit.MILLISECONDS.sleep(3 * SETTLE_MILLIS);
        write("y");
        await().until(() -> requestHandler.requests.size() == 1);
    }

    /** Guards against a limit for deployments whose configuration has none; 3,000 ms is that of others. */
    @Test
    void headMayTakeLongerWithoutTheLimitInTheConfiguration() throws Exception {
        write("GET /1 HTTP/1.1\r\n");
        TimeUnit.MILLISECONDS.sleep(3_500);
        write("Host: a\r\n\r\n");
        await().until(() -> requestHandler.requests.size() == 1);
    }

    /** Guards against a request that stands in the body of another one, whose end is not known. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "Transfer-Encoding: gzip; 400",
                "Transfer-Encoding: identity; 400",
                "Transfer-Encoding: xchunked; 400",
                "Transfer-Encoding:; 400",
                "Transfer-Encoding: chunked, gzip; 400",
                "Transfer-Encoding: chunked, chunked; 400",
                "Transfer-Encoding: gzip, chunked; 501",
                "Transfer-Encoding: gzip|Transfer-Encoding: chunked; 501",
                "Transfer-Encoding: chunked|Transfer-Encoding: identity; 400"
            })
    void requestWhoseTransferCodingIsNotUnderstoodIsRefusedAndItsConnectionEnds(String headers, int status)
            throws IOException {
        String inner = "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
        write("POST /1 HTTP/1.1\r\nHost: a\r\n" + headers.replace("|", "\r\n") + "\r\n\r\n" + inner);
        assertThat(readToEnd()).startsWith("HTTP/1.1 " + status + " ").containsOnlyOnce("HTTP/1.1");
        assertThat(requestHandler.requests).isEmpty();
    }

    /** A transfer coding exists since HTTP/1.1; what stands between may not know where such a request ends. */
    @Test
    void chunkedRequestOfHttp10IsRefused() throws IOException {
        write("POST /1 HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        assertThat(readToEnd()).startsWith("HTTP/1.1 400 ");
        assertThat(requestHandler.requests).isEmpty();
    }

    /** Guards against refusals of proper requests. */
    @ParameterizedTest
    @ValueSource(strings = {"chunked", "Chunked", " chunked "})
    void chunkedRequestIsPassedOn(String coding) throws IOException {
        write("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: " + coding + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        await().until(() -> requestHandler.requests.size() == 1);
        assertThat(requestHandler.requests.get(0).body().toString(StandardCharsets.US_ASCII))
                .isEqualTo("abc");
    }
}
