package org.lacewingthread.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.DroppedResponse.Reason;

/** What is told of responses that count for no request. */
class DroppedResponseLogTest {
    private static final DroppedResponse OTHER =
            new DroppedResponse(Optional.of("2"), Optional.of("1"), OptionalInt.of(200), Reason.OTHER_ID);

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final EventLog events = new EventLog("vm-1", out, () -> 0);
    private final AtomicLong nowMillis = new AtomicLong(5_000);
    private final DroppedResponseLog log = new DroppedResponseLog(events, nowMillis::get);

    @AfterEach
    void close() {
        events.close();
    }

    private List<String> lines(int count) {
        await().until(() -> out.toString(StandardCharsets.UTF_8).lines().count() >= count);
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static List<DroppedResponse> droppedBehind(SecondAnswer second, boolean late) throws Exception {
        try (HttpCaller caller = new HttpCaller(true);
                ScriptedServer server = new ScriptedServer(exchange -> {
                    String id = exchange.readRequest();
                    for (int onConnection = 0; id != null; onConnection++) {
                        boolean now = exchange.number == 1 && onConnection == (late ? 1 : 0);
                        String own = SecondAnswer.own(id);
                        String both = late ? second.text(1) + own : own + second.text(1);
                        exchange.write(now ? both : own);
                        id = exchange.readRequest();
                    }
                })) {
            caller.call(server, 2, 0);
            return List.copyOf(caller.dropped);
        }
    }

    /** Guards against dropped answers of which no line tells the server, both ids and the reason. */
    @Test
    void lineNamesPeerBothIdsStatusAndReason() {
        log.onDropped("i-1", OTHER);
        assertThat(lines(1).get(0))
                .contains("\"event\":\"response.dropped\",\"peer\":\"i-1\",\"expected\":\"2\",\"received\":\"1\","
                        + "\"status\":200,\"reason\":\"OTHER_ID\"}");
    }

    /** Guards against a server that fills the log with its second answers. */
    @Test
    void linesBeyondTheLimitOfASecondAreCountedInTheNextLine() {
        for (int i = 0; i < 50; i++) {
            log.onDropped("i-1", OTHER);
        }
        nowMillis.addAndGet(1_000);
        log.onDropped("i-1", OTHER);
        assertThat(lines(21)).hasSize(21).last().asString().contains("\"unlisted\":30");
        assertThat(log.count()).isEqualTo(51);
    }

    /** Guards against dropped answers whose reason or ids are told wrongly. */
    @Test
    void reasonsAndIdsAreThoseOfTheDroppedAnswer() throws Exception {
        assertThat(droppedBehind(SecondAnswer.WITH_ID, true)).containsExactly(OTHER);
        assertThat(droppedBehind(SecondAnswer.WITHOUT_ID, true))
                .containsExactly(
                        new DroppedResponse(Optional.of("2"), Optional.empty(), OptionalInt.of(200), Reason.NO_ID));
        assertThat(droppedBehind(SecondAnswer.WITH_ID, false))
                .containsExactly(new DroppedResponse(
                        Optional.of("1"), Optional.of("1"), OptionalInt.of(200), Reason.SURPLUS_BYTES));
        assertThat(droppedBehind(SecondAnswer.NO_RESPONSE, true))
                .containsExactly(
                        new DroppedResponse(Optional.of("2"), Optional.empty(), OptionalInt.empty(), Reason.MALFORMED));
    }
}
