package org.lacewingthread.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.memory.MemoryAccount;

/** Guards against memory for requests on their way to servers that read slowly, which no bound counts. */
class UnsentRequestMemoryTest {
    /** More than the buffers of a loopback connection take. */
    private static final int BODY_BYTES = 12 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final List<OutboundConnection> connections = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final CountDownLatch ended = new CountDownLatch(1);

    @AfterEach
    void stop() {
        ended.countDown();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private ConnectionPool<String> pool(MemoryAccount account) {
        ConnectionPool<String> pool =
                new ConnectionPool<>(group.next(), () -> System.nanoTime() / 1_000_000, 1_000, 10_000);
        pool.countIn(account);
        return pool;
    }

    private void send(ConnectionPool<String> pool, ScriptedServer server, String name) {
        group.execute(() -> pool.acquire(name, server.address(), (connection, failure) -> {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
            request.headers().set("Content-Length", BODY_BYTES);
            connection.send(request, null, new ResponseListener() {
                @Override
                public void onResponse(FullResponse response) {
                    failures.add(name + " answered");
                }

                @Override
                public void onFailure(boolean sent, String reason) {
                    failures.add(name + (sent ? " unknown" : " not sent"));
                }
            });
            connections.add(connection);
        }));
    }

    private long heldBytes(MemoryAccount account) {
        AtomicLong held = new AtomicLong(-1);
        group.submit(() -> held.set(account.heldBytes())).syncUninterruptibly();
        return held.get();
    }

    @Test
    void bytesForSlowServerCountUntilTheAttemptEnds() throws Exception {
        MemoryAccount account = new MemoryAccount(10 << 20);
        try (ScriptedServer server = new ScriptedServer(exchange -> ended.await())) {
            send(pool(account), server, "slow");
            await().until(() -> connections.size() == 1);
            assertThat(heldBytes(account)).isGreaterThanOrEqualTo(BodySlices.MAX_WHOLE_BYTES);
            group.execute(connections.get(0)::abort);
            await().until(() -> heldBytes(account) == 0);
            assertThat(failures).isEmpty();
        }
    }

    @Test
    void bytesForServerThatReadsCountNoLongerThanTheyWait() throws Exception {
        MemoryAccount account = new MemoryAccount(10 << 20);
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.Exchange::readToEnd)) {
            send(pool(account), server, "ready");
            await().until(() -> connections.size() == 1 && heldBytes(account) == 0);
            assertThat(failures).isEmpty();
        }
    }

    @Test
    void serverWithTheMostWaitingBytesLosesAnAttemptFirst() throws Exception {
        MemoryAccount account = new MemoryAccount(220_000);
        try (ScriptedServer busy = new ScriptedServer(exchange -> ended.await());
                ScriptedServer other = new ScriptedServer(exchange -> ended.await())) {
            ConnectionPool<String> pool = pool(account);
            send(pool, busy, "busy");
            await().until(() -> connections.size() == 1);
            send(pool, other, "other");
            await().until(() -> connections.size() == 2);
            send(pool, busy, "busy");
            await().until(() -> connections.size() == 3);
            await().untilAsserted(() -> assertThat(failures).containsExactly("busy unknown"));
            assertThat(heldBytes(account)).isBetween(1L, account.maxBytes());
        }
    }
}
