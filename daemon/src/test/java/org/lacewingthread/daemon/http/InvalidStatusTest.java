package org.lacewingthread.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers in trouble whose status line holds no HTTP status code. */
class InvalidStatusTest {
    private final HttpCaller caller = new HttpCaller(true);

    @AfterEach
    void close() {
        caller.close();
    }

    /** Guards against a status 000 that reaches the caller, or keeps it waiting for another response. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "0", "099", "+200", "0200", "600", "999", "2000", "-1", "2x0"})
    void responseWithoutAStatusCodeFailsItsRequestAtOnceAndEndsItsConnection(String status) throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            for (String id = exchange.readRequest(); id != null; id = exchange.readRequest()) {
                exchange.write(
                        id.equals("1")
                                ? SecondAnswer.own(id).replace(" 200 ", " " + status + " ")
                                : SecondAnswer.own(id));
            }
        })) {
            assertThat(caller.call(server, 2, 0)).isEqualTo(List.of("unknown", "200 own 2"));
            assertThat(server.acceptedCount()).isEqualTo(2);
        }
    }

    /** Guards against a response that is lost because an interim one came before it. */
    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
    void responseBehindAnInterimOneIsDelivered(String interim) throws Exception {
        try (ScriptedServer server = new ScriptedServer(exchange -> {
            String id = exchange.readRequest();
            exchange.write("HTTP/1.1 " + interim + "\r\n\r\n" + SecondAnswer.own(id));
            exchange.readToEnd();
        })) {
            assertThat(caller.call(server, 1, 0)).isEqualTo(List.of("200 own 1"));
        }
    }
}
