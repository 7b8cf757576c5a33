package org.lacewingthread.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** What follows an answer on its connection, for calls whose answers carry no id as well. */
class EndOfAnswerTest {
    private static final int CALLS = 4;
    private static final long PAUSE_MILLIS = 100;
    private static final List<String> ALL_OWN = List.of("200 own 1", "200 own 2", "200 own 3", "200 own 4");

    private final HttpCaller callerWithIds = new HttpCaller(true);
    private final HttpCaller callerWithoutIds = new HttpCaller(false);

    @AfterEach
    void close() {
        callerWithIds.close();
        callerWithoutIds.close();
    }

    /** Answers each call, the first of the first connection with more bytes behind. */
    private static ScriptedServer.Script answerWith(String bytesBehind) {
        return exchange -> {
            String id = exchange.readRequest();
            for (int onConnection = 0; id != null; onConnection++) {
                boolean first = exchange.number == 1 && onConnection == 0;
                exchange.write(SecondAnswer.own(id) + (first ? bytesBehind : ""));
                id = exchange.readRequest();
            }
        };
    }

    /** Guards against bytes that were read together with an answer and are handed to the next call. */
    @ParameterizedTest
    @EnumSource(SecondAnswer.class)
    void bytesBehindAnAnswerEndItsConnectionAndTheNextCallGetsItsOwnAnswer(SecondAnswer second) throws Exception {
        try (ScriptedServer server = new ScriptedServer(answerWith(second.text(1)))) {
            assertThat(callerWithIds.call(server, CALLS, 0)).isEqualTo(ALL_OWN);
            assertThat(server.acceptedCount()).isEqualTo(2);
        }
        try (ScriptedServer server = new ScriptedServer(answerWith(second.text(1)))) {
            assertThat(callerWithoutIds.call(server, CALLS, 0)).isEqualTo(ALL_OWN);
            assertThat(server.acceptedCount()).isEqualTo(2);
        }
    }

    /** Guards against an idle connection that is used after bytes came that nobody had asked for. */
    @ParameterizedTest
    @EnumSource(SecondAnswer.class)
    void bytesOnAnIdleConnectionEndIt(SecondAnswer second) throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            String id = exchange.readRequest();
            exchange.write(SecondAnswer.own(id));
            Thread.sleep(PAUSE_MILLIS / 2);
            exchange.write(exchange.number == 1 ? second.text(1) : "");
            for (id = exchange.readRequest(); id != null; id = exchange.readRequest()) {
                exchange.write(SecondAnswer.own(id));
            }
        })) {
            assertThat(callerWithoutIds.call(server, CALLS, PAUSE_MILLIS)).isEqualTo(ALL_OWN);
            assertThat(server.acceptedCount()).isEqualTo(2);
        }
    }

    /** Guards against line ends behind an answer that hide how many answers a connection carried. */
    @Test
    void lineEndBehindAnAnswerEndsItsConnection() throws Exception {
        try (ScriptedServer server = new ScriptedServer(answerWith("\r\n"))) {
            assertThat(callerWithoutIds.call(server, CALLS, 0)).isEqualTo(ALL_OWN);
            assertThat(server.acceptedCount()).isEqualTo(2);
        }
    }

    /** Guards against a call that is decided by one of two answers without an id on a connection used before. */
    @Test
    void callWithoutIdThatGetsTwoAnswersOnAReusedConnectionEndsAsUnknown() throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            String id = exchange.readRequest();
            for (int onConnection = 0; id != null; onConnection++) {
                boolean late = exchange.number == 1 && onConnection == 1;
                exchange.write((late ? SecondAnswer.WITHOUT_ID.text(1) : "") + SecondAnswer.own(id));
                id = exchange.readRequest();
            }
        })) {
            assertThat(callerWithoutIds.call(server, CALLS, 0))
                    .containsExactly("200 own 1", "unknown", "200 own 3", "200 own 4");
        }
    }

    /** Guards against whole answers that are held back or lost because their connection ends with them. */
    @ParameterizedTest
    @CsvSource({"'',true", "'',false", "'Connection: close\r\nContent-Length: 5\r\n',true"})
    void answerThatEndsWithItsConnectionIsDelivered(String headers, boolean closes) throws Exception {
        String chunked = closes ? "" : "Connection: close\r\nTransfer-Encoding: chunked\r\n";
        String body = closes ? "own 1" : "5\r\nown 1\r\n0\r\n\r\n";
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            String id = exchange.readRequest();
            exchange.write("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + headers + chunked + "\r\n" + body);
            if (!closes) {
                exchange.readRequest();
            }
        })) {
            assertThat(callerWithIds.call(server, 1, 0)).containsExactly("200 own 1");
        }
    }

    /** Guards against answers of several reads that are taken for whole, or against connections that are given up for them. */
    @Test
    void answerInManyReadsIsDeliveredWholeAndItsConnectionIsReused() throws Exception {
        String large = "x".repeat(300_000);
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            for (String id = exchange.readRequest(); id != null; id = exchange.readRequest()) {
                exchange.write("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 300005\r\n\r\nhead ");
                Thread.sleep(20);
                exchange.write(large);
            }
        })) {
            assertThat(callerWithIds.call(server, 2, 0)).containsExactly("200 head " + large, "200 head " + large);
            assertThat(server.acceptedCount()).isEqualTo(1);
        }
    }
}
