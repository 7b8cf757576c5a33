package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.hedging.HedgePolicy;
import org.lacewingthread.core.hedging.HedgeSettings;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.traffic.NotRunStatus;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;

/**
 * Random orders of attempts: rejected, failed, broken, overdue, hedged, unsent and relayed. Whatever they are, a request
 * that is answered with a promise that it did not run has run nowhere, and an at-most-once request ran once at most.
 */
class AttemptHistoryTest extends EngineFixture {
    private static final int HISTORIES = 150;
    private static final int SERVERS = 3;
    private static final int MEASURED_ATTEMPTS = 100;
    private static final int STEP_MILLIS = 100;
    private static final Set<Integer> SEEN_STATUSES = ConcurrentHashMap.newKeySet();
    private static final List<ResultCode> RELAY_FAILURES = List.of(
            ResultCode.RELAY_UNREACHABLE,
            ResultCode.SERVERS_UNREACHABLE,
            ResultCode.OWNER_UNREACHABLE,
            ResultCode.OVERLOADED,
            ResultCode.DEADLINE_PASSED,
            ResultCode.ANSWER_LOST,
            ResultCode.SERVER_FAILED,
            ResultCode.RELAY_LOST);

    private final AtomicInteger runs = new AtomicInteger();

    /** How a server treats one request. */
    private enum Reaction {
        ANSWERS(true, 200, true, false),
        FAILS_UNAVAILABLE(true, 503, true, false),
        FAILS_TOO_MANY(true, 429, true, false),
        FAILS_TIMEOUT(true, 408, true, false),
        FAILS_UNSEALED(true, 503, false, false),
        FAILS(true, 500, true, false),
        REJECTS(false, 503, true, true),
        REJECTS_TOO_MANY(false, 429, false, true),
        MISDIRECTED(false, 421, true, false),
        BREAKS(true, 0, false, false) {
            @Override
            void respond(HttpExchange exchange) throws IOException {
                exchange.sendResponseHeaders(200, 2);
                exchange.close();
            }
        },
        STAYS_SILENT(true, 0, false, false) {
            @Override
            void respond(HttpExchange exchange) {
                // The connection stays open until the server is stopped.
            }
        };

        private final boolean runs;
        private final int status;
        private final boolean sealed;
        private final boolean statesNotExecuted;

        Reaction(boolean runs, int status, boolean sealed, boolean statesNotExecuted) {
            this.runs = runs;
            this.status = status;
            this.sealed = sealed;
            this.statesNotExecuted = statesNotExecuted;
        }

        void respond(HttpExchange exchange) throws IOException {
            exchange.getResponseHeaders().add("Attempt", "a-1");
            if (sealed) {
                exchange.getResponseHeaders().add("Seal", "s");
            }
            if (statesNotExecuted) {
                exchange.getResponseHeaders().add("Not-Executed", "1");
            }
            exchange.sendResponseHeaders(status, -1);
            exchange.close();
        }
    }

    private static <T> T choose(List<T> choices, SplittableRandom random) {
        return choices.get(random.nextInt(choices.size()));
    }

    private HttpServer startServer(SplittableRandom random) throws IOException {
        return startServer(exchange -> {
            Reaction reaction;
            synchronized (random) {
                reaction = choose(List.of(Reaction.values()), random);
            }
            if (reaction.runs) {
                runs.incrementAndGet();
            }
            reaction.respond(exchange);
        });
    }

    private RequestHandler.Cancellation relay(ResponseSink sink, SplittableRandom random) {
        boolean answered = random.nextInt(4) == 0;
        ResultCode failure = choose(RELAY_FAILURES, random);
        if (answered || failure.knowledge() != ResultCode.Knowledge.NOT_RUN) {
            runs.incrementAndGet();
        }
        eventLoop.schedule(
                () -> {
                    if (answered) {
                        sink.onHead(ResponseStatus.ofServer(200).orElseThrow(), List.of(new HeaderField("Seal", "s")));
                        sink.onEnd();
                    } else {
                        sink.onFailure(new Failure(failure, 100, ""));
                    }
                },
                random.nextInt(20),
                TimeUnit.MILLISECONDS);
        return () -> {};
    }

    /** Lets time pass; now and then, servers leave. */
    private void step(List<KnownServer> servers, SplittableRandom random) {
        nowMillis.addAndGet(STEP_MILLIS);
        if (random.nextInt(15) == 0) {
            engine.onTopologyChange(servers.subList(0, random.nextInt(SERVERS)), RangeTable.EMPTY);
        }
        engine.tick();
    }

    private static HedgePolicy hedgePolicy(long nowMillis) {
        HedgePolicy policy = new HedgePolicy(new HedgeSettings(0.9, 0.5));
        for (int i = 0; i < MEASURED_ATTEMPTS; i++) {
            policy.onAnswered(DESK, 100, 100, nowMillis);
            policy.onFirstAttempt();
        }
        return policy;
    }

    static Stream<Integer> seeds() {
        return IntStream.range(0, HISTORIES).boxed();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void requestThatIsAnsweredWithAPromiseRanNowhere(int seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        boolean mustNotRepeat = random.nextBoolean();
        List<KnownServer> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            HttpServer started = startServer(random.split());
            servers.add(server("i-" + number, DESK, started));
            if (random.nextInt(3) == 0) {
                started.stop(0);
            }
        }
        SplittableRandom relays = random.split();
        relayTransport = (peer, request, sink) -> relay(sink, relays);
        eventLoop.execute(() -> {
            if (random.nextBoolean()) {
                engine.hedges().enable(hedgePolicy(nowMillis.get()));
            }
            if (random.nextBoolean()) {
                engine.relays()
                        .setPeers(List.of(
                                new RelayPeer(new VmId("vm-2"), HERE, "10.0.0.2", 80),
                                new RelayPeer(new VmId("vm-3"), HERE, "10.0.0.3", 80)));
            }
            engine.onTopologyChange(servers, RangeTable.EMPTY);
            request(mustNotRepeat ? "desk" : "reads", null);
        });
        eventLoop.scheduleAtFixedRate(() -> step(servers, random), 5, 5, TimeUnit.MILLISECONDS);
        await().pollInterval(5, TimeUnit.MILLISECONDS).until(() -> !answeredStatuses.isEmpty());
        int status = answeredStatuses.get(0);
        SEEN_STATUSES.add(status);
        if (NotRunStatus.includes(status)) {
            await().during(30, TimeUnit.MILLISECONDS).until(() -> answeredStatuses.size() == 1);
            assertThat(runs).hasValue(0);
        }
        if (mustNotRepeat) {
            assertThat(runs).hasValueLessThanOrEqualTo(1);
        }
    }

    /** The histories prove little unless they end in all these ways. */
    @AfterAll
    static void allKindsOfAnswersWereSeen() {
        assertThat(SEEN_STATUSES).contains(200, 500, 502, 503, 504);
    }
}
