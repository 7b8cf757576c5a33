package org.lacewingthread.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Servers whose response has no end, until the caller closes the connection. */
class EndlessResponseTest {
    private static final long MAX_RESPONSE_BYTES = 1 << 20;
    private static final int CONNECTIONS = 12;
    private static final int PAUSE_MILLIS = 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = group.next();
    private final ResponseMemory memory = new ResponseMemory(MAX_RESPONSE_BYTES);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<OutboundConnection> connections = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicLong mostUsedBytes = new AtomicLong();
    private volatile Endless kind = Endless.STATUS_LINE;
    private volatile boolean slow;
    private ServerSocket server;

    /** What has no end. */
    enum Endless {
        STATUS_LINE("HTTP/1.1 200 ", "O"),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"),
        TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"),
        BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\n\r\n", "abcde"),
        BODY_OF_HUGE_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "abcde");

        private final String start;
        private final String repeated;

        Endless(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    @BeforeEach
    void startServer() throws IOException {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        threads.execute(() -> {
            while (!server.isClosed()) {
                acceptOne();
            }
        });
        eventLoop.scheduleAtFixedRate(
                () -> mostUsedBytes.accumulateAndGet(memory.usedBytes(), Math::max), 1, 1, TimeUnit.MILLISECONDS);
    }

    private void acceptOne() {
        try {
            Socket socket = server.accept();
            threads.execute(() -> sendWithoutEnd(socket));
        } catch (IOException e) {
            // The test has ended.
            return;
        }
    }

    private void sendWithoutEnd(Socket socket) {
        try (socket) {
            OutputStream out = socket.getOutputStream();
            out.write(kind.start.getBytes(StandardCharsets.US_ASCII));
            byte[] repeated = kind.repeated.repeat(slow ? 1 : 1_000).getBytes(StandardCharsets.US_ASCII);
            while (true) {
                out.write(repeated);
                if (slow) {
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller closed the connection.
            closed.incrementAndGet();
        }
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        threads.shutdownNow();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void sendRequests() {
        for (int i = 0; i < CONNECTIONS; i++) {
            eventLoop.execute(() -> OutboundConnection.open(
                    eventLoop, "127.0.0.1", server.getLocalPort(), 1_000, memory, (connection, failure) -> {
                        connections.add(connection);
                        connection.send(request(), null, new ResponseListener() {
                            @Override
                            public void onResponse(FullResponse response) {
                                answered.incrementAndGet();
                            }

                            @Override
                            public void onFailure(boolean sent, String reason) {
                                failures.add(reason);
                            }
                        });
                    }));
        }
    }

    private static DefaultFullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
    }

    /** Guards against a process that runs out of memory because of responses without end on many connections. */
    @ParameterizedTest
    @EnumSource(Endless.class)
    void fastResponseWithoutEndFailsAndItsConnectionIsClosed(Endless endless) {
        kind = endless;
        sendRequests();
        await().atMost(Duration.ofSeconds(20))
                .until(() -> failures.size() == CONNECTIONS && closed.get() == CONNECTIONS);
        assertThat(answered).hasValue(0);
        assertThat(mostUsedBytes.get()).isLessThanOrEqualTo(MAX_RESPONSE_BYTES);
        assertNoMemoryIsUsed();
    }

    /** Guards against connections and memory that are kept after the caller's deadline has passed. */
    @ParameterizedTest
    @EnumSource(Endless.class)
    void slowResponseWithoutEndIsGivenUpWithItsAttempt(Endless endless) throws InterruptedException {
        kind = endless;
        slow = true;
        sendRequests();
        await().until(() -> connections.size() == CONNECTIONS);
        TimeUnit.MILLISECONDS.sleep(200);
        eventLoop.execute(() -> new ArrayList<>(connections).forEach(OutboundConnection::abort));
        await().atMost(Duration.ofSeconds(20)).until(() -> closed.get() == CONNECTIONS);
        assertThat(answered).hasValue(0);
        assertNoMemoryIsUsed();
    }

    /** Guards against whole responses that fail because of one without end. */
    @Test
    void connectionWithTheLargestBodyFailsFirst() {
        List<String> failed = new ArrayList<>();
        ResponseMemory shared = new ResponseMemory(100);
        ResponseMemory.Reader small = () -> failed.add("small");
        ResponseMemory.Reader large = () -> failed.add("large");
        shared.add(small, 30);
        shared.add(large, 60);
        shared.add(small, 20);
        assertThat(failed).containsExactly("large");
        assertThat(shared.usedBytes()).isEqualTo(50);
        shared.remove(small);
        assertThat(shared.usedBytes()).isZero();
    }

    private void assertNoMemoryIsUsed() {
        AtomicLong used = new AtomicLong(-1);
        eventLoop.execute(() -> used.set(memory.usedBytes()));
        await().untilAsserted(() -> assertThat(used).hasValue(0));
    }
}
