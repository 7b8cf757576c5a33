package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;

/** Servers that run a request and answer it with a status that promises that it did not run. */
class FalsePromiseTest extends EngineFixture {
    private final AtomicInteger runs = new AtomicInteger();
    /** Statuses of the next responses; 200 once there are none. */
    private final Queue<Integer> statuses = new ConcurrentLinkedQueue<>();

    private boolean sealed = true;

    private void run(HttpExchange exchange) throws IOException {
        runs.incrementAndGet();
        Integer status = statuses.poll();
        exchange.getResponseHeaders().add("Attempt", "a-1");
        exchange.getResponseHeaders().add("Retry-After", "3");
        if (sealed) {
            exchange.getResponseHeaders().add("Seal", "s");
        }
        exchange.sendResponseHeaders(status == null ? 200 : status, -1);
        exchange.close();
    }

    private void requestFromTwoServers(String route) throws IOException {
        HttpServer first = startServer(this::run);
        HttpServer second = startServer(this::run);
        eventLoop.execute(() -> {
            engine.onTopologyChange(List.of(server("i-1", DESK, first), server("i-2", DESK, second)), RangeTable.EMPTY);
            request(route, null);
        });
        await().until(() -> !answeredStatuses.isEmpty());
    }

    /** Guards against "not run" for an at-most-once request that its server ran. */
    @ParameterizedTest
    @ValueSource(ints = {503, 429, 408})
    void promiseOfAServerThatRanTheRequestIsReplacedBy502WithoutItsSeal(int status) throws IOException {
        statuses.add(status);
        requestFromTwoServers("desk");
        assertThat(answeredStatuses).containsExactly(502);
        assertThat(answeredSeals).containsExactly(Optional.empty());
        assertThat(answeredRetryAfters).containsExactly(Optional.empty());
        assertThat(runs).hasValue(1);
    }

    /** Guards against "not run" in a response without seal, which may come from a server that ran the request. */
    @Test
    void promiseWithoutSealIsReplacedBy502() throws IOException {
        sealed = false;
        statuses.add(503);
        requestFromTwoServers("desk");
        assertThat(answeredStatuses).containsExactly(502);
    }

    /** Guards against a replacement of failures that promise nothing. */
    @ParameterizedTest
    @ValueSource(ints = {500, 502, 504, 409, 404})
    void failureThatPromisesNothingIsForwardedWithItsSeal(int status) throws IOException {
        statuses.add(status);
        requestFromTwoServers("desk");
        assertThat(answeredStatuses).containsExactly(status);
        assertThat(answeredSeals).containsExactly(Optional.of("s"));
    }

    /** Guards against a repeatable request that fails after one run although another server would answer. */
    @ParameterizedTest
    @ValueSource(ints = {503, 429, 408})
    void repeatableRequestIsSentAgainAfterAPromiseOfAServerThatRanIt(int status) throws IOException {
        statuses.add(status);
        requestFromTwoServers("reads");
        assertThat(answeredStatuses).containsExactly(200);
        assertThat(runs).hasValue(2);
    }

    /** Guards against "not run" for a repeatable request, which counts for its caller as well. */
    @ParameterizedTest
    @ValueSource(ints = {503, 429, 408})
    void repeatableRequestWhoseLastRunEndsWithAPromiseIsAnswered502(int status) throws IOException {
        statuses.addAll(List.of(status, status));
        requestFromTwoServers("reads");
        assertThat(answeredStatuses).containsExactly(502);
        assertThat(runs).hasValue(2);
    }

    /** Guards against requests to a server that ran a request, answered 503 and asked for rest. */
    @Test
    void serverWhosePromiseIsReplacedIsStillLeftAlone() throws IOException {
        statuses.addAll(List.of(503, 503));
        requestFromTwoServers("reads");
        eventLoop.execute(() -> request("desk", null));
        await().until(() -> answeredStatuses.size() == 2);
        assertThat(answeredStatuses).containsExactly(502, 503);
        assertThat(runs).hasValue(2);
    }

    /** Guards against "not run" for a request whose server was reached by another entry VM. */
    @Test
    void falsePromiseThatAnotherEntryVmReportsIsAnswered502() throws IOException {
        relayTransport = (peer, request, sink) -> {
            eventLoop.execute(
                    () -> sink.onFailure(new Failure(ResultCode.SERVER_FAILED, 0, "its server answered 503")));
            return () -> {};
        };
        HttpServer ended = startServer(exchange -> {});
        ended.stop(0);
        eventLoop.execute(() -> {
            engine.relays().setPeers(List.of(new RelayPeer(new VmId("vm-2"), HERE, "10.0.0.2", 80)));
            engine.onTopologyChange(List.of(server("i-1", DESK, ended)), RangeTable.EMPTY);
            request("desk", null);
        });
        await().until(() -> !answeredStatuses.isEmpty());
        assertThat(answeredStatuses).containsExactly(502);
        assertThat(answeredSeals).containsExactly(Optional.empty());
    }
}
