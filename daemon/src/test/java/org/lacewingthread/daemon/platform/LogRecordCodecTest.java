package org.lacewingthread.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.GZIPOutputStream;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.statistics.Statistics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;

class LogRecordCodecTest {
    private static final LogOffset OFFSET = new LogOffset(42);
    private static final RecordHeader HEADER =
            new RecordHeader(new WriterId("maras-1.5"), 7, "rosa", 1_700_000_000_000L);
    private static final String HEADER_JSON =
            "\"header\":{\"writer\":\"w\",\"sequence\":3,\"author\":\"a\",\"writtenAtEpochMillis\":4}";

    private final LogRecordCodec codec = new LogRecordCodec();

    @Provide
    Arbitrary<LogRecord> records() {
        return LogRecordArbitraries.records();
    }

    @Property(tries = 1_000, seed = "20261203")
    void everyRecordIsDecodedAsEncoded(@ForAll("records") LogRecord body)
            throws LogRecordCodec.RecordTooLargeException {
        Statistics.collect(RecordKind.of(body));
        Statistics.coverage(coverage -> {
            for (RecordKind kind : RecordKind.values()) {
                coverage.check(kind).count(count -> count > 0);
            }
        });

        assertThat(codec.decode(OFFSET, codec.encode(HEADER, body))).isEqualTo(new LogEntry(OFFSET, HEADER, body));
    }

    @Property(tries = 300, seed = "20261204")
    void decodingDamagedBytesNeverThrows(@ForAll("records") LogRecord body, @ForAll int position, @ForAll byte damage)
            throws LogRecordCodec.RecordTooLargeException {
        byte[] data = codec.encode(HEADER, body);
        data[Math.floorMod(position, data.length)] = damage;

        assertThat(codec.decode(OFFSET, data).offset()).isEqualTo(OFFSET);
    }

    @Property(tries = 300, seed = "20261205")
    void truncatedBytesAreUnreadable(@ForAll("records") LogRecord body, @ForAll int length)
            throws LogRecordCodec.RecordTooLargeException {
        byte[] data = codec.encode(HEADER, body);
        byte[] truncated = Arrays.copyOf(data, Math.floorMod(length, data.length));

        assertThat(codec.decode(OFFSET, truncated).body()).isInstanceOf(LogRecord.Unreadable.class);
    }

    @Test
    void everyRecordClassHasAKind() {
        assertThat(Arrays.stream(RecordKind.values()).<Class<?>>map(RecordKind::recordClass))
                .containsExactlyInAnyOrder(LogRecord.class.getPermittedSubclasses());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "``                                            | is missing",
                "not json                                      | Unrecognized token",
                "[]                                            | \"header\" is missing",
                "null                                          | \"header\" is missing",
                "{}                                            | \"header\" is missing",
                "{\"header\":{}}                               | writer",
                "{\"header\":7}                                | RecordHeader",
                "{H}                                           | \"version\" is missing",
                "{H,H}                                         | Duplicate field",
                "{\"version\":2,H}                             | format version 2 is not 1",
                "{\"version\":\"1\",H}                         | format version",
                "{\"version\":1,H}                             | \"type\" is missing",
                "{\"version\":1,\"type\":\"sabotage\",H,\"body\":{}}   | \"sabotage\" is not known",
                "{\"version\":1,\"type\":\"vm-drain-set\",H}           | \"body\" is missing",
                "{\"version\":1,\"type\":\"vm-drain-set\",H,\"body\":{}}    | vm",
                "{\"version\":1,\"type\":\"vm-drain-set\",H,\"body\":{\"vm\":\"v\"}}    | draining",
                "{\"version\":1,\"type\":\"vm-drain-set\",H,\"body\":{\"vm\":\"v\",\"draining\":null}}   | draining",
                "{\"version\":1,\"type\":\"vm-drain-set\",H,\"body\":{\"vm\":\"v\",\"draining\":\"true\"}} | boolean",
                "{\"version\":1,\"type\":\"vm-drain-set\",H,\"body\":{\"vm\":\"V!\",\"draining\":true}}  | VM id",
                "{\"version\":1,\"type\":\"vm-drain-set\",H,\"body\":{\"vm\":\"v\",\"draining\":true,\"x\":1}} | \"x\"",
                "{\"version\":1,\"type\":\"vm-drain-set\",H,\"body\":{\"vm\":\"v\",\"draining\":true}}trailing | trailing",
                "{\"version\":1,\"type\":\"roster-changed\",H,\"body\":{\"dataCentre\":\"d\",\"baseRevision\":1,\"members\":[null]}} | null",
                "{\"version\":1,\"type\":\"roster-changed\",H,\"body\":{\"dataCentre\":\"d\",\"baseRevision\":1.5,\"members\":[]}} | 1.5",
                "{\"version\":1,\"type\":\"roster-changed\",H,\"body\":{\"dataCentre\":\"d\",\"baseRevision\":-2,\"members\":[]}} | below -1",
            })
    void malformedBytesDecodeToUnreadableWithReason(String text, String reason) {
        byte[] data = text.replace("H", HEADER_JSON).getBytes(StandardCharsets.UTF_8);

        LogEntry entry = codec.decode(OFFSET, data);

        assertThat(entry.body()).isInstanceOf(LogRecord.Unreadable.class);
        assertThat(((LogRecord.Unreadable) entry.body()).reason()).contains(reason);
    }

    @Test
    void unreadableBodyKeepsHeader() {
        String text = "{\"version\":9," + HEADER_JSON + "}";

        LogEntry entry = codec.decode(OFFSET, text.getBytes(StandardCharsets.UTF_8));

        assertThat(entry.header()).isEqualTo(new RecordHeader(new WriterId("w"), 3, "a", 4));
    }

    @Test
    void encodingARecordAboveTheLimitThrows() {
        LogRecordCodec small = new LogRecordCodec(100);
        LogRecord body = new LogRecord.DataCentreHandedOver(
                new DataCentreId("maras"), new DataCentreId("calca"), "x".repeat(100));

        assertThatThrownBy(() -> small.encode(HEADER, body))
                .isInstanceOf(LogRecordCodec.RecordTooLargeException.class)
                .hasMessageContaining("\"data-centre-handed-over\"")
                .hasMessageContaining("limit of 100");
    }

    @Test
    void bytesAboveTheLimitAreUnreadable() throws LogRecordCodec.RecordTooLargeException {
        byte[] data = codec.encode(HEADER, new LogRecord.VmDrainSet(new VmId("maras-1"), true));

        assertThat(new LogRecordCodec(10).decode(OFFSET, data).body()).isInstanceOf(LogRecord.Unreadable.class);
    }

    @Test
    void snapshotOf16384ShardsEncodesBelow48KiB() throws LogRecordCodec.RecordTooLargeException {
        LogRecord snapshot = new LogRecord.SnapshotTaken(LogRecordArbitraries.newStateWithShards(16_384, 20));

        byte[] data = codec.encode(HEADER, snapshot);

        assertThat(data).hasSizeLessThan(48 << 10);
        assertThat(codec.decode(OFFSET, data).body()).isEqualTo(snapshot);
    }

    @Test
    void recordAboveDecompressedLimitIsUnreadable() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
            byte[] spaces = new byte[1 << 20];
            Arrays.fill(spaces, (byte) ' ');
            for (int i = 0; i < 40; i++) {
                gzip.write(spaces);
            }
        }

        LogRecord body = codec.decode(OFFSET, out.toByteArray()).body();

        assertThat(body).isInstanceOf(LogRecord.Unreadable.class);
        assertThat(((LogRecord.Unreadable) body).reason()).contains("decompressed");
    }
}
