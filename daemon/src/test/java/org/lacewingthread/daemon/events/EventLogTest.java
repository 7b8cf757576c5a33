package org.lacewingthread.daemon.events;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Output that blocks writes until {@code gate} is opened. */
    private static final class GatedOutput extends OutputStream {
        private final CountDownLatch gate = new CountDownLatch(1);
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            try {
                gate.await();
            } catch (InterruptedException e) {
                throw new IOException("interrupted", e);
            }
            synchronized (written) {
                written.write(bytes, offset, length);
            }
        }

        String text() {
            synchronized (written) {
                return written.toString(StandardCharsets.UTF_8);
            }
        }
    }

    @Test
    void eventIsWrittenAsOneJsonLineWithoutNullFields() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = new EventLog("vm-1", out, () -> 42);
        log.write("server.seen", "server", "a\nb", "slots", 2, "ready", true, "reason", null);
        log.close();
        assertThat(out.toString(StandardCharsets.UTF_8)).hasLineCount(1);
        JsonNode line = MAPPER.readTree(out.toByteArray());
        assertThat(line.path("at_unix_ms").asLong()).isEqualTo(42);
        assertThat(line.path("vm").asText()).isEqualTo("vm-1");
        assertThat(line.path("server").asText()).isEqualTo("a\nb");
        assertThat(line.path("slots").asInt()).isEqualTo(2);
        assertThat(line.has("reason")).isFalse();
    }

    @Test
    void fullQueueDropsLinesWithoutBlockingAndReportsExactCount() {
        GatedOutput out = new GatedOutput();
        EventLog log = new EventLog("vm-1", out, () -> 42);
        int eventCount = 50_000;
        for (int i = 0; i < eventCount; i++) {
            log.write("request.ended", "request", i);
        }
        long dropped = log.droppedCount();
        assertThat(dropped).isPositive();
        out.gate.countDown();
        await().atMost(Duration.ofSeconds(5)).until(() -> out.text().lines().count() > eventCount - dropped);
        long written = out.text()
                .lines()
                .filter(line -> line.contains("request.ended"))
                .count();
        long reported = out.text()
                .lines()
                .filter(line -> line.contains("log.dropped"))
                .mapToLong(line -> Long.parseLong(line.replaceAll(".*\"lines\":([0-9]+).*", "$1")))
                .sum();
        assertThat(written + reported).isEqualTo(eventCount);
        log.close();
    }
}
