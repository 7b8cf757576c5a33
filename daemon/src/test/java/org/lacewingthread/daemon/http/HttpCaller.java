package org.lacewingthread.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Sends requests one after the other, the next one from within the call that brings the outcome of the one before. */
final class HttpCaller implements AutoCloseable {
    static final String ID_HEADER = "X-Id";
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long MAX_IDLE_MILLIS = 10_000;
    private static final String PEER = "server";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = group.next();
    private final boolean withIds;
    final List<DroppedResponse> dropped = new CopyOnWriteArrayList<>();
    private final ConnectionPool<String> pool;

    HttpCaller(boolean withIds) {
        this.withIds = withIds;
        this.pool = new ConnectionPool<>(
                eventLoop, () -> System.nanoTime() / 1_000_000, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
        pool.setDropListener((peer, response) -> dropped.add(response));
    }

    /**
     * Sends requests with the ids and targets 1, 2 and so on.
     *
     * @return for each request the status and body, or "unknown" if it was sent in vain, or "not sent"
     */
    List<String> call(ScriptedServer server, int count, long pauseMillis) throws Exception {
        List<String> outcomes = new ArrayList<>();
        CompletableFuture<List<String>> all = new CompletableFuture<>();
        eventLoop.execute(() -> callNext(server, count, pauseMillis, outcomes, all));
        return all.get(20, TimeUnit.SECONDS);
    }

    private void callNext(
            ScriptedServer server,
            int count,
            long pauseMillis,
            List<String> outcomes,
            CompletableFuture<List<String>> all) {
        if (outcomes.size() == count) {
            all.complete(List.copyOf(outcomes));
            return;
        }
        Runnable next = () -> callNext(server, count, pauseMillis, outcomes, all);
        Runnable afterPause =
                pauseMillis == 0 ? next : () -> eventLoop.schedule(next, pauseMillis, TimeUnit.MILLISECONDS);
        String id = Integer.toString(outcomes.size() + 1);
        pool.acquire(PEER, server.address(), (connection, failure) -> {
            if (connection == null) {
                outcomes.add("not sent");
                afterPause.run();
                return;
            }
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, id, Unpooled.EMPTY_BUFFER);
            connection.send(
                    request,
                    withIds ? new OutboundConnection.EchoedHeader(ID_HEADER, id) : null,
                    new ResponseListener() {
                        @Override
                        public void onResponse(FullResponse response) {
                            pool.release(PEER, connection);
                            outcomes.add(
                                    response.status() + " " + response.body().toString(StandardCharsets.US_ASCII));
                            afterPause.run();
                        }

                        @Override
                        public void onFailure(boolean sent, String reason) {
                            outcomes.add(sent ? "unknown" : "not sent");
                            afterPause.run();
                        }
                    });
        });
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
