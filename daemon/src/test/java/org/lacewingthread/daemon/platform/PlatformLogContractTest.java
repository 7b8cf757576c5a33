package org.lacewingthread.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.standin.LogFaults;
import org.lacewingthread.standin.LogServiceStandIn;

class PlatformLogContractTest {
    private static final String STREAM = "routing";
    private static final LogOffset FIRST = new LogOffset(0);
    private static final PlatformClient.Timeouts TIMEOUTS = new PlatformClient.Timeouts(2_000, 400);

    private final AtomicLong nanos = new AtomicLong();
    private LogServiceStandIn service;
    private PlatformClient client;
    private PlatformClient setUpClient;
    private PlatformLog log;
    /** For what a test only needs to find there; its time limit is no part of the contract. */
    private PlatformLog setUpLog;

    @BeforeEach
    void start() throws IOException {
        service = new LogServiceStandIn(0, nanos::get);
        client = PlatformClient.open(TIMEOUTS);
        log = new HttpPlatformLog(client, service.uri(), STREAM);
        setUpClient = PlatformClient.open(new PlatformClient.Timeouts(10_000, 10_000));
        setUpLog = new HttpPlatformLog(setUpClient, service.uri(), STREAM);
        // The first calls of a process load the code of client and stand-in, which may take longer than a time limit.
        await().ignoreExceptions().until(() -> log.read(FIRST, 1).records().isEmpty());
    }

    @AfterEach
    void stop() {
        client.close();
        setUpClient.close();
        service.close();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void appendAll(String... records) throws LogException {
        for (String text : records) {
            setUpLog.append(bytes(text));
        }
    }

    @Test
    void emptyLogHasEndOffsetNone() throws LogException {
        LogBatch batch = log.read(FIRST, 10);

        assertThat(batch.records()).isEmpty();
        assertThat(batch.endOffset()).isEqualTo(LogOffset.NONE);
        assertThat(batch.oldestOffset()).isEqualTo(FIRST);
    }

    @Test
    void appendsGetIncreasingOffsetsAndAreReadInOrder() throws LogException {
        appendAll("a", "b", "c");

        LogBatch batch = log.read(new LogOffset(1), 10);

        assertThat(batch.records()).extracting(LogBatch.RawRecord::offset).containsExactly(offset(1), offset(2));
        assertThat(batch.records())
                .extracting(r -> new String(r.data(), StandardCharsets.UTF_8))
                .containsExactly("b", "c");
        assertThat(batch.endOffset()).isEqualTo(offset(2));
    }

    private static LogOffset offset(long value) {
        return new LogOffset(value);
    }

    @Test
    void readReturnsAtMostMaxRecords() throws LogException {
        appendAll("a", "b", "c");

        assertThat(log.read(FIRST, 2).records()).hasSize(2);
    }

    @Test
    void readBeyondTheEndIsEmpty() throws LogException {
        appendAll("a");

        assertThat(log.read(offset(7), 10).records()).isEmpty();
    }

    @Test
    void streamsHaveSeparateOffsets() throws LogException {
        appendAll("a", "b");

        assertThat(new HttpPlatformLog(client, service.uri(), "audit").append(bytes("x")))
                .isEqualTo(FIRST);
    }

    @Test
    void recordOfOneMebibyteIsReadUnchanged() throws LogException {
        byte[] large = new byte[1 << 20];
        Arrays.fill(large, (byte) 0xfe);
        log.append(large);

        assertThat(log.read(FIRST, 1).records().get(0).data()).isEqualTo(large);
    }

    /** Fault, expected exception of the append, and expected number of records in the log afterwards. */
    static Stream<Arguments> appendFaults() {
        return Stream.of(
                Arguments.of(LogFaults.NONE.withUnavailable(true), LogException.Unavailable.class, 0),
                Arguments.of(LogFaults.NONE.withUnanswered(true), LogException.OutcomeUnknown.class, 0),
                Arguments.of(LogFaults.NONE.withLatencyMillis(60_000), LogException.OutcomeUnknown.class, 1),
                Arguments.of(LogFaults.NONE.withLostAnswers(1, 0), LogException.OutcomeUnknown.class, 1),
                Arguments.of(LogFaults.NONE.withLostAnswers(0, 1), LogException.OutcomeUnknown.class, 0));
    }

    @ParameterizedTest
    @MethodSource("appendFaults")
    void failedAppendReportsWhetherItMayHaveTakenEffect(LogFaults faults, Class<?> expected, int recordsAfterwards)
            throws LogException {
        service.setFaults(faults);
        Throwable thrown = catchThrowable(() -> log.append(bytes("a")));
        service.setFaults(LogFaults.NONE);

        assertThat(thrown).isInstanceOf(expected);
        assertThat(log.read(FIRST, 10).records()).hasSize(recordsAfterwards);
    }

    /** Faults under which a read fails. */
    static Stream<LogFaults> readFaults() {
        return Stream.of(
                LogFaults.NONE.withUnavailable(true),
                LogFaults.NONE.withUnanswered(true),
                LogFaults.NONE.withLatencyMillis(60_000));
    }

    @ParameterizedTest
    @MethodSource("readFaults")
    void failedReadThrowsUnavailable(LogFaults faults) {
        service.setFaults(faults);

        assertThatThrownBy(() -> log.read(FIRST, 10)).isInstanceOf(LogException.Unavailable.class);
    }

    @Test
    void appendAboveTheRateIsRefusedWithRetryAfter() throws LogException {
        service.setFaults(LogFaults.NONE.withAppendsPerSecond(2));
        appendAll("a", "b");

        Throwable thrown = catchThrowable(() -> log.append(bytes("c")));

        assertThat(thrown).isInstanceOf(LogException.RateExceeded.class);
        assertThat(((LogException.RateExceeded) thrown).retryAfterMillis()).isEqualTo(1_000);
        assertThat(service.endOffset(STREAM)).isEqualTo(1);
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        assertThat(log.append(bytes("c"))).isEqualTo(offset(2));
    }

    @Test
    void recordsExpireByCount() throws LogException {
        appendAll("a", "b", "c", "d");
        service.setFaults(LogFaults.NONE.withRetention(2, 0));

        assertExpiredBefore(2);
        assertThat(log.read(offset(2), 10).records()).hasSize(2);
    }

    @Test
    void recordsExpireByAge() throws LogException {
        service.setFaults(LogFaults.NONE.withRetention(0, 10_000));
        appendAll("a", "b");
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(9));
        appendAll("c");
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(2));

        assertExpiredBefore(2);
        assertThat(log.read(offset(2), 10).records()).hasSize(1);
    }

    @Test
    void offsetsContinueAfterAllRecordsExpired() throws LogException {
        service.setFaults(LogFaults.NONE.withRetention(0, 10_000));
        appendAll("a", "b");
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(11));

        assertExpiredBefore(2);
        assertThat(log.append(bytes("c"))).isEqualTo(offset(2));
    }

    private void assertExpiredBefore(long oldest) {
        Throwable thrown = catchThrowable(() -> log.read(FIRST, 10));
        assertThat(thrown).isInstanceOf(LogException.Expired.class);
        assertThat(((LogException.Expired) thrown).oldestOffset()).isEqualTo(offset(oldest));
    }

    /** Uses a client without connections, since what is sent on an open one may arrive before its end is noticed. */
    @Test
    void refusedConnectionThrowsUnavailable() throws IOException {
        URI uri = service.uri();
        service.close();
        try (PlatformClient unconnected = PlatformClient.open(TIMEOUTS)) {
            PlatformLog unreachable = new HttpPlatformLog(unconnected, uri, STREAM);

            assertThatThrownBy(() -> unreachable.append(bytes("a"))).isInstanceOf(LogException.Unavailable.class);
            assertThatThrownBy(() -> unreachable.read(FIRST, 1)).isInstanceOf(LogException.Unavailable.class);
        }
    }

    @Test
    void appendMayTakeEffectAfterTimeout() {
        service.setFaults(LogFaults.NONE.withAppendDelayMillis(800));
        assertThatThrownBy(() -> log.append(bytes("late"))).isInstanceOf(LogException.OutcomeUnknown.class);

        await().until(() -> service.endOffset(STREAM) == 0);
    }

    @Test
    void concurrentCallsGetTheirOwnResponses() throws Exception {
        ExecutorService writers = Executors.newFixedThreadPool(8);
        List<Future<LogOffset>> offsets = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            byte[] record = bytes("record " + i);
            offsets.add(writers.submit(() -> log.append(record)));
        }

        for (int i = 0; i < offsets.size(); i++) {
            LogOffset offset = offsets.get(i).get();
            LogBatch.RawRecord record = log.read(offset, 1).records().get(0);
            assertThat(new String(record.data(), StandardCharsets.UTF_8)).isEqualTo("record " + i);
        }
        writers.shutdown();
    }

    @Test
    void lateResponseIsNotReturnedToTheNextCall() throws LogException {
        service.setFaults(LogFaults.NONE.withLatencyMillis(600));
        assertThatThrownBy(() -> log.append(bytes("a"))).isInstanceOf(LogException.OutcomeUnknown.class);
        service.setFaults(LogFaults.NONE.withLatencyMillis(300));

        assertThat(log.append(bytes("b"))).isEqualTo(offset(1));
    }

    @Test
    void callSucceedsAfterALostResponse() throws LogException {
        service.setFaults(LogFaults.NONE.withLostAnswers(1, 0));
        assertThatThrownBy(() -> log.append(bytes("a"))).isInstanceOf(LogException.OutcomeUnknown.class);

        assertThat(log.append(bytes("b"))).isEqualTo(offset(1));
    }
}
