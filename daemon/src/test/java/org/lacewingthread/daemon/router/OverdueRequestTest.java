package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.keyrange.RangeTable;

/** Requests whose server never answers, as a full server of some services does. */
class OverdueRequestTest extends EngineFixture {
    private static final int ANSWERS_BEFORE = 40;

    private final AtomicBoolean silent = new AtomicBoolean();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final CountDownLatch testEnd = new CountDownLatch(1);

    /** Answers, except for the first request after {@link #silent} was set. */
    private void serve(HttpExchange exchange) throws IOException {
        if (silent.getAndSet(false)) {
            unanswered.incrementAndGet();
            awaitTestEnd();
            return;
        }
        exchange.getResponseHeaders().add("Attempt", "a-1");
        exchange.getResponseHeaders().add("Seal", "seal");
        exchange.sendResponseHeaders(200, -1);
        exchange.close();
    }

    private void awaitTestEnd() {
        try {
            testEnd.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @AfterEach
    void endTest() {
        testEnd.countDown();
    }

    private void passTime() {
        nowMillis.addAndGet(10);
        engine.tick();
    }

    private void learnServiceTimes() throws IOException {
        HttpServer first = startServer(this::serve);
        HttpServer second = startServer(this::serve);
        eventLoop.execute(() -> engine.onTopologyChange(
                List.of(server("i-1", DESK, first), server("i-2", DESK, second)), RangeTable.EMPTY));
        eventLoop.scheduleAtFixedRate(this::passTime, 10, 10, TimeUnit.MILLISECONDS);
        for (int i = 1; i <= ANSWERS_BEFORE; i++) {
            int answers = i;
            eventLoop.execute(() -> request("reads", null));
            await().pollInterval(10, TimeUnit.MILLISECONDS).until(() -> answeredStatuses.size() == answers);
        }
        silent.set(true);
    }

    /** Guards against a repeatable request that waits for a silent server until its deadline. */
    @Test
    void overdueRepeatableRequestIsAnsweredByTheOtherServer() throws IOException {
        learnServiceTimes();
        long startMillis = nowMillis.get();
        eventLoop.execute(() -> request("reads", null));
        await().until(() -> answeredStatuses.size() > ANSWERS_BEFORE);
        assertThat(unanswered).hasValue(1);
        assertThat(answeredStatuses.get(ANSWERS_BEFORE)).isEqualTo(200);
        assertThat(nowMillis.get() - startMillis).isLessThan(4_000);
    }

    /** Guards against a request that must run at most once and is sent to a second server. */
    @Test
    void overdueRequestThatMustNotRepeatIsAwaited() throws IOException {
        learnServiceTimes();
        eventLoop.execute(() -> request("desk", null));
        await().until(() -> answeredStatuses.size() > ANSWERS_BEFORE);
        assertThat(answeredStatuses.get(ANSWERS_BEFORE)).isEqualTo(504);
    }
}
