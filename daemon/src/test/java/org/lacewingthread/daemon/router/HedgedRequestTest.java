package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.hedging.HedgePolicy;
import org.lacewingthread.core.hedging.HedgeSettings;
import org.lacewingthread.core.keyrange.RangeTable;

/** Requests whose first server stalls while another one is idle. */
class HedgedRequestTest extends EngineFixture {
    private static final int MEASURED_ATTEMPTS = 100;

    private final AtomicInteger arrivals = new AtomicInteger();
    private final CountDownLatch released = new CountDownLatch(1);
    private final HedgePolicy policy = new HedgePolicy(new HedgeSettings(0.9, 0.5));

    @BeforeEach
    void startServers() throws IOException {
        HttpServer first = startServer(this::answerUnlessFirst);
        HttpServer second = startServer(this::answerUnlessFirst);
        eventLoop.execute(() -> {
            engine.onTopologyChange(List.of(server("i-1", DESK, first), server("i-2", DESK, second)), RangeTable.EMPTY);
            for (int i = 0; i < MEASURED_ATTEMPTS; i++) {
                policy.onAnswered(DESK, 100, 100, nowMillis.get());
            }
            engine.hedges().enable(policy);
        });
    }

    @AfterEach
    void releaseServers() {
        released.countDown();
    }

    /** Stalls on the first request that arrives at either of the servers. */
    private void answerUnlessFirst(HttpExchange exchange) throws IOException {
        try {
            if (arrivals.incrementAndGet() == 1) {
                released.await(30, TimeUnit.SECONDS);
            }
            exchange.getResponseHeaders().add("Seal", "s");
            exchange.getResponseHeaders().add("Attempt", "a-1");
            exchange.sendResponseHeaders(200, 2);
            exchange.getResponseBody().write(new byte[] {'o', 'k'});
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void stallFirstServerOf(String route) {
        eventLoop.execute(() -> {
            for (int i = 0; i < 10; i++) {
                policy.onFirstAttempt();
            }
            request(route, null);
        });
        await().until(() -> arrivals.get() == 1);
        eventLoop.execute(() -> {
            nowMillis.addAndGet(1_000);
            engine.tick();
            engine.tick();
        });
    }

    /** Guards against callers who wait for a stalled server while another one would answer at once. */
    @Test
    void secondServerAnswersWhenTheFirstOneIsOverdue() {
        stallFirstServerOf("reads");
        await().until(() -> !answeredStatuses.isEmpty());
        assertThat(answeredStatuses).containsExactly(200);
        assertThat(arrivals).hasValue(2);
    }

    /** Guards against a second run of a request that must run at most once. */
    @Test
    void requestThatMustRunAtMostOnceIsNotHedged() throws Exception {
        stallFirstServerOf("desk");
        eventLoop.submit(() -> {}).get(5, TimeUnit.SECONDS);
        released.countDown();
        await().until(() -> !answeredStatuses.isEmpty());
        assertThat(answeredStatuses).containsExactly(200);
        assertThat(arrivals).hasValue(1);
    }

    /** Guards against a second server at work for a caller that left while the first one stalled. */
    @Test
    void requestOfACallerThatLeftUnseenIsNotHedged() throws Exception {
        callerLeft = false;
        eventLoop.execute(() -> {
            for (int i = 0; i < 10; i++) {
                policy.onFirstAttempt();
            }
            request("reads", null);
        });
        await().until(() -> arrivals.get() == 1);
        callerLeft = true;
        eventLoop.execute(() -> {
            nowMillis.addAndGet(1_000);
            engine.tick();
            engine.tick();
        });
        await().until(() -> engine.unansweredCount() == 0);
        assertThat(arrivals).hasValue(1);
    }
}
