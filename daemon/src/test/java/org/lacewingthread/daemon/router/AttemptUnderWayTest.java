package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.ResponseSink;

/** Requests at which a server is at work for longer than usual, while a second attempt is made elsewhere. */
class AttemptUnderWayTest extends EngineFixture {
    private static final int ANSWERS_BEFORE = 40;
    /** Longer than any answer takes to count as overdue here, and shorter than the route's timeout. */
    private static final int WORK_MILLIS = 1_500;

    private final AtomicInteger arrivals = new AtomicInteger();
    private final CountDownLatch workDone = new CountDownLatch(1);
    private final AtomicInteger relayed = new AtomicInteger();
    private volatile Reaction others = Reaction.REJECTS;

    /** How servers treat a request at which another server is at work already. */
    private enum Reaction {
        ANSWERS(200),
        REJECTS(503) {
            @Override
            void respond(HttpExchange exchange) throws IOException {
                exchange.getResponseHeaders().add("Not-Executed", "1");
                super.respond(exchange);
            }
        },
        FAILS(500),
        BREAKS_OFF(200) {
            @Override
            void respond(HttpExchange exchange) throws IOException {
                exchange.sendResponseHeaders(200, 2);
                exchange.close();
            }
        };

        private final int status;

        Reaction(int status) {
            this.status = status;
        }

        void respond(HttpExchange exchange) throws IOException {
            exchange.getResponseHeaders().add("Attempt", "a-1");
            exchange.getResponseHeaders().add("Seal", "seal");
            exchange.sendResponseHeaders(status, -1);
            exchange.close();
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        int arrival = arrivals.incrementAndGet();
        if (arrival == ANSWERS_BEFORE + 1) {
            awaitWorkDone();
        }
        (arrival > ANSWERS_BEFORE + 1 ? others : Reaction.ANSWERS).respond(exchange);
    }

    private void awaitWorkDone() {
        try {
            workDone.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @AfterEach
    void endWork() {
        workDone.countDown();
    }

    private void passTime() {
        nowMillis.addAndGet(10);
        engine.tick();
    }

    /** Starts servers whose service times are known, and a request at which one of them is at work. */
    private List<KnownServer> startWork(int serverCount) throws IOException {
        List<KnownServer> servers = new ArrayList<>();
        for (int number = 1; number <= serverCount; number++) {
            HttpServer started = startServer(this::serve);
            servers.add(server("i-" + number, DESK, started));
        }
        eventLoop.execute(() -> engine.onTopologyChange(servers, RangeTable.EMPTY));
        eventLoop.scheduleAtFixedRate(this::passTime, 10, 10, TimeUnit.MILLISECONDS);
        for (int i = 1; i <= ANSWERS_BEFORE; i++) {
            int answers = i;
            eventLoop.execute(() -> request("reads", null));
            await().pollInterval(5, TimeUnit.MILLISECONDS).until(() -> answeredStatuses.size() == answers);
        }
        eventLoop.execute(() -> request("reads", null));
        await().until(() -> arrivals.get() > ANSWERS_BEFORE);
        return servers;
    }

    private void finishWorkAfterTheAnswerWasOverdue() {
        long endMillis = nowMillis.get() + WORK_MILLIS;
        await().until(() -> nowMillis.get() >= endMillis);
        workDone.countDown();
        await().until(() -> answeredStatuses.size() > ANSWERS_BEFORE);
    }

    /** Guards against a failure of the router's own for a request at which a server is at work. */
    @ParameterizedTest
    @EnumSource(names = {"REJECTS", "FAILS", "BREAKS_OFF"})
    void overdueRequestIsAnsweredByItsFirstServerIfTheSecondOneDoesNotServeIt(Reaction ofSecond) throws IOException {
        others = ofSecond;
        startWork(2);
        finishWorkAfterTheAnswerWasOverdue();
        assertThat(answeredStatuses.get(ANSWERS_BEFORE)).isEqualTo(200);
        assertThat(arrivals).hasValue(ANSWERS_BEFORE + 2);
    }

    /** Guards against the refusal of a request, for lack of another server, at which a server is at work. */
    @Test
    void overdueRequestIsAnsweredByItsServerIfThereIsNoOtherOne() throws IOException {
        startWork(1);
        finishWorkAfterTheAnswerWasOverdue();
        assertThat(answeredStatuses.get(ANSWERS_BEFORE)).isEqualTo(200);
        assertThat(arrivals).hasValue(ANSWERS_BEFORE + 1);
    }

    /** Guards against callers who wait for a server at work although another one has answered. */
    @Test
    void overdueRequestIsAnsweredByTheSecondServerIfThatIsFaster() throws IOException {
        others = Reaction.ANSWERS;
        startWork(2);
        await().until(() -> answeredStatuses.size() > ANSWERS_BEFORE);
        assertThat(answeredStatuses.get(ANSWERS_BEFORE)).isEqualTo(200);
        assertThat(engine.unansweredCount()).isZero();
    }

    private void loseLinks(List<KnownServer> servers, RelayResult result) {
        relayTransport = (peer, request, sink) -> {
            relayed.incrementAndGet();
            eventLoop.execute(() -> result.apply(sink));
            return () -> {};
        };
        eventLoop.execute(() -> {
            engine.relays().setPeers(List.of(new RelayPeer(new VmId("vm-2"), HERE, "10.0.0.2", 80)));
            nowMillis.addAndGet(300);
            servers.forEach(known -> engine.links().onNoAnswer(known.start(), nowMillis.get()));
        });
        await().until(() -> relayed.get() > 0);
    }

    private interface RelayResult {
        void apply(ResponseSink sink);
    }

    /** Guards against a request that is given up where a server is at work, and then not served elsewhere either. */
    @ParameterizedTest
    @EnumSource(names = {"RELAY_LOST", "OVERLOADED", "SERVERS_UNREACHABLE", "OWNER_UNREACHABLE", "DEADLINE_PASSED"})
    void requestOfAVmThatSeemsCutOffIsAnsweredByItsServerIfTheOtherVmFails(ResultCode ofOtherVm) throws IOException {
        List<KnownServer> servers = startWork(1);
        loseLinks(servers, sink -> sink.onFailure(new Failure(ofOtherVm, 100, "")));
        finishWorkAfterTheAnswerWasOverdue();
        assertThat(answeredStatuses.get(ANSWERS_BEFORE)).isEqualTo(200);
    }

    /** Guards against callers of a VM that is cut off who wait although another VM has an answer. */
    @Test
    void requestOfAVmThatSeemsCutOffIsAnsweredByTheOtherVmIfThatIsFaster() throws IOException {
        List<KnownServer> servers = startWork(1);
        loseLinks(servers, sink -> {
            sink.onHead(ResponseStatus.ofServer(200).orElseThrow(), List.of(new HeaderField("Seal", "s")));
            sink.onEnd();
        });
        await().until(() -> answeredStatuses.size() > ANSWERS_BEFORE);
        assertThat(answeredStatuses.get(ANSWERS_BEFORE)).isEqualTo(200);
        assertThat(engine.unansweredCount()).isZero();
    }
}
