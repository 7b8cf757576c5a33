package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** Requests of which certainly no byte reached a server. */
class UnsentRequestTest extends EngineFixture {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nAttempt: a-1\r\nSeal: seal\r\nContent-Length: 0\r\n\r\n";

    private static void answerOne(Socket socket) throws IOException {
        byte[] buffer = new byte[8_192];
        assertThat(socket.getInputStream().read(buffer)).isPositive();
        socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
    }

    /** Guards against a 502 for a request whose first write fails, since the server reset the idle connection before. */
    @Test
    void requestOfWhichNoByteWasWrittenIsRefused() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ServerEntry entry = new ServerEntry(
                    new ServerStart(new ServerId("i-1"), 1),
                    DESK,
                    "127.0.0.1",
                    listener.getLocalPort(),
                    HERE,
                    2,
                    false,
                    false);
            eventLoop.execute(() -> {
                engine.onTopologyChange(
                        List.of(new KnownServer(entry, Optional.empty(), Optional.empty())), RangeTable.EMPTY);
                request("desk", null);
            });
            Socket socket = listener.accept();
            answerOne(socket);
            await().until(() -> answeredStatuses.size() == 1);
            CountDownLatch resetArrived = new CountDownLatch(1);
            eventLoop.execute(() -> {
                awaitLatch(resetArrived);
                request("desk", null);
            });
            socket.setSoLinger(true, 0);
            socket.close();
            listener.close();
            resetArrived.countDown();
            await().until(() -> answeredStatuses.size() == 2);
        }
        assertThat(answeredStatuses).containsExactly(200, 503);
        assertThat(answeredRetryAfters.get(1)).as("Retry-After").isPresent();
    }

    /** Guards against a 503 without Retry-After, from which callers don't learn when to come back. */
    @Test
    void requestThatWaitedUntilItsDeadlineIsRefusedWithRetryAfter() {
        eventLoop.execute(() -> {
            request("orders", "7");
            nowMillis.addAndGet(5_001);
            engine.tick();
        });
        await().until(() -> !answeredStatuses.isEmpty());
        assertThat(answeredStatuses).containsExactly(503);
        assertThat(answeredRetryAfters.get(0)).isPresent();
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
