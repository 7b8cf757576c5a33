package org.lacewingthread.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Answers to requests that carry an id, from servers that send more than the answer. */
class AnswerOfRequestTest {
    private static final int REQUESTS = 4;
    private static final List<String> ALL_OWN = List.of("200 own 1", "200 own 2", "200 own 3", "200 own 4");

    private final HttpCaller caller = new HttpCaller(true);

    @AfterEach
    void close() {
        caller.close();
    }

    /** Guards against an answer without an id, or with two, that counts for the request in progress. */
    @ParameterizedTest
    @EnumSource(SecondAnswer.class)
    void secondAnswerThatIsLateByOneRequestIsNotTheAnswerOfTheNext(SecondAnswer second) throws Exception {
        assertOwnAnswersOnly(second, lateBy(second, 1));
    }

    /** Guards against an answer to a request long ended that counts for a later one. */
    @ParameterizedTest
    @EnumSource(SecondAnswer.class)
    void secondAnswerThatIsLateByTwoRequestsIsNotTheAnswerOfTheThird(SecondAnswer second) throws Exception {
        assertOwnAnswersOnly(second, lateBy(second, 2));
    }

    /** Answers the first request twice, the second time in front of the answer to a later request. */
    private static ScriptedServer.Script lateBy(SecondAnswer second, int requests) {
        return exchange -> {
            String id = exchange.readRequest();
            for (int onConnection = 0; id != null; onConnection++) {
                boolean late = exchange.number == 1 && onConnection == requests;
                exchange.write((late ? second.text(onConnection) : "") + SecondAnswer.own(id));
                if (late && !second.isWholeAnswer()) {
                    return;
                }
                id = exchange.readRequest();
            }
        };
    }

    private void assertOwnAnswersOnly(SecondAnswer second, ScriptedServer.Script script) throws Exception {
        try (ScriptedServer server = new ScriptedServer(script)) {
            List<String> outcomes = caller.call(server, REQUESTS, 0);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(outcomes.get(i)).isIn(ALL_OWN.get(i), "unknown");
            }
            if (second.isWholeAnswer()) {
                assertThat(outcomes).isEqualTo(ALL_OWN);
            }
            assertThat(outcomes).filteredOn("unknown"::equals).hasSizeLessThanOrEqualTo(1);
            assertThat(server.acceptedCount()).isEqualTo(2);
        }
    }

    /** Guards against an answer that is sent before the request was read and counts for it. */
    @ParameterizedTest
    @EnumSource(SecondAnswer.class)
    void answerSentBeforeTheRequestWasReadIsNotItsAnswer(SecondAnswer second) throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            exchange.write(exchange.number == 1 ? second.text(9) : "");
            for (String id = exchange.readRequest(); id != null; id = exchange.readRequest()) {
                exchange.write(SecondAnswer.own(id));
                if (exchange.number == 1 && !second.isWholeAnswer()) {
                    return;
                }
            }
        })) {
            List<String> outcomes = caller.call(server, REQUESTS, 0);
            assertThat(outcomes.get(0)).isIn("200 own 1", "unknown", "not sent");
            assertThat(outcomes.subList(1, REQUESTS)).isEqualTo(ALL_OWN.subList(1, REQUESTS));
        }
    }

    /** Guards against a request that ends as "not run" or waits for ever when only another's answer comes. */
    @Test
    void requestThatGetsOnlyAnothersAnswerEndsAsUnknownWithItsConnection() throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            exchange.readRequest();
            exchange.write(SecondAnswer.WITHOUT_ID.text(0) + SecondAnswer.WITH_ID.text(7));
        })) {
            assertThat(caller.call(server, 1, 0)).containsExactly("unknown");
        }
    }

    /** Guards against requests that fail because a server repeats their id. */
    @Test
    void answerWithTheRightIdTwiceIsTheRequestsAnswer() throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            for (String id = exchange.readRequest(); id != null; id = exchange.readRequest()) {
                exchange.write(SecondAnswer.own(id).replace("Content", "x-id: " + id + "\r\nContent"));
            }
        })) {
            assertThat(caller.call(server, REQUESTS, 0)).isEqualTo(ALL_OWN);
            assertThat(server.acceptedCount()).isEqualTo(1);
        }
    }

    /** Guards against a server's refusals that count without an id, although all its answers carry one. */
    @ParameterizedTest
    @CsvSource({"503", "421", "429", "500"})
    void refusalWithoutIdIsNotTheRequestsAnswer(int status) throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            String id = exchange.readRequest();
            exchange.write("HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n\r\n" + SecondAnswer.own(id));
            exchange.readRequest();
        })) {
            assertThat(caller.call(server, 1, 0)).containsExactly("200 own 1");
        }
    }
}
