package org.lacewingthread.daemon.operator.publish;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.daemon.platform.HttpPlatformLog;
import org.lacewingthread.daemon.platform.PlatformClient;
import org.lacewingthread.daemon.platform.PlatformLog;
import org.lacewingthread.standin.LogFaults;
import org.lacewingthread.standin.LogServiceStandIn;

/** Publishes through the HTTP client and the record codec against the stand-in of the log service. */
class PublishOverHttpTest {
    private static final Path EXAMPLE = Path.of("..", "docs", "examples", "routing.json");
    private static final String STREAM = "routing";
    private static final long DEADLINE_MILLIS = 5_000;

    private final AtomicLong nowMillis = new AtomicLong();
    private final PublisherClock clock = new PublisherClock() {
        @Override
        public long monotonicMillis() {
            return nowMillis.get();
        }

        @Override
        public long epochMillis() {
            return 0;
        }

        @Override
        public void sleep(long millis) {
            nowMillis.addAndGet(millis);
        }
    };
    private LogServiceStandIn service;
    private PlatformClient client;
    private PlatformLog log;
    private RoutingConfiguration example;

    @BeforeEach
    void start() throws Exception {
        service = new LogServiceStandIn(0, () -> TimeUnit.MILLISECONDS.toNanos(nowMillis.get()));
        client = PlatformClient.open(new PlatformClient.Timeouts(2_000, 2_000));
        log = new HttpPlatformLog(client, service.uri(), STREAM);
        example = ConfigurationFile.read(EXAMPLE).configuration();
    }

    @AfterEach
    void stop() {
        client.close();
        service.close();
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                arguments("none", LogFaults.NONE),
                arguments("response lost after the append", LogFaults.NONE.withLostAnswers(1, 0)),
                arguments("response lost before the append", LogFaults.NONE.withLostAnswers(0, 1)),
                arguments("responses lost before and after", LogFaults.NONE.withLostAnswers(1, 1)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void recordIsPublishedOnceWhenResponsesAreLost(String name, LogFaults faults) throws Exception {
        service.setFaults(faults);

        LogOffset revision = newConfigurationPublisher("w1").publish(LogOffset.NONE, example, DEADLINE_MILLIS);

        assertThat(revision).isEqualTo(new LogOffset(0));
        assertThat(service.endOffset(STREAM)).isZero();
        assertThat(stateFromNewReader().configuration()).isEqualTo(example);
    }

    @Test
    void publishWaitsWhileTheAppendRateIsExceeded() throws Exception {
        service.setFaults(LogFaults.NONE.withAppendsPerSecond(1));
        LogOffset first = newConfigurationPublisher("w1").publish(LogOffset.NONE, example, DEADLINE_MILLIS);
        assertThat(nowMillis).hasValue(0);

        LogOffset second = newConfigurationPublisher("w2").publish(first, RoutingConfiguration.EMPTY, DEADLINE_MILLIS);

        assertThat(second).isEqualTo(new LogOffset(1));
        assertThat(nowMillis.get()).isPositive();
    }

    @Test
    void secondPublishFromTheSameBaseThrowsConflict() throws Exception {
        ConfigurationPublisher early = newConfigurationPublisher("w1");
        ConfigurationPublisher late = newConfigurationPublisher("w2");
        LogOffset won = early.publish(LogOffset.NONE, example, DEADLINE_MILLIS);

        assertThatThrownBy(() -> late.publish(LogOffset.NONE, RoutingConfiguration.EMPTY, DEADLINE_MILLIS))
                .isInstanceOf(PublishException.Conflict.class)
                .hasMessageContaining("revision " + won + ", not at -1");
        assertThat(stateFromNewReader().configuration()).isEqualTo(example);
    }

    @Test
    void readerStartsFromSnapshotAfterRecordsExpired() throws Exception {
        RecordPublisher records = newRecordPublisher("w1");
        LogOffset revision = new ConfigurationPublisher(records).publish(LogOffset.NONE, example, DEADLINE_MILLIS);
        ServerId server = example.servers().get(0).id();
        records.publish(new LogRecord.ServerDrainSet(server, true), DEADLINE_MILLIS);
        records.publish(new LogRecord.SnapshotTaken(records.reader().state()), DEADLINE_MILLIS);
        service.setFaults(LogFaults.NONE.withRetention(1, 0));

        ReplicaState state = stateFromNewReader();

        assertThat(state).isEqualTo(records.reader().state());
        assertThat(state.configurationRevision()).isEqualTo(revision);
        assertThat(state.drainingServers()).containsExactly(server);
    }

    @Test
    void unavailableLogThrowsNotPublished() {
        service.setFaults(LogFaults.NONE.withUnavailable(true));

        assertThatThrownBy(() -> newConfigurationPublisher("w1").publish(LogOffset.NONE, example, DEADLINE_MILLIS))
                .isInstanceOf(PublishException.NotPublished.class);
        assertThat(service.endOffset(STREAM)).isEqualTo(-1);
    }

    @Test
    void historyContainsAuthorBaseAndChanges() throws Exception {
        LogOffset first = newConfigurationPublisher("w1").publish(LogOffset.NONE, example, DEADLINE_MILLIS);
        RoutingConfiguration fewer = new RoutingConfiguration(
                example.applications(), example.servers().subList(0, 1));
        newConfigurationPublisher("w2").publish(first, fewer, DEADLINE_MILLIS);
        LogHistory history = new LogHistory();
        new LogReader(log, new JsonRecordFormat(), history).readToEnd();

        List<LogHistory.Revision> revisions = history.revisions();
        assertThat(revisions).hasSize(2);
        assertThat(revisions.get(1).line().author()).isEqualTo("rosa");
        assertThat(revisions.get(1).line().detail()).isEqualTo("base 0: - server calca-ledger-1");
    }

    private ConfigurationPublisher newConfigurationPublisher(String writer) {
        return new ConfigurationPublisher(newRecordPublisher(writer));
    }

    private RecordPublisher newRecordPublisher(String writer) {
        JsonRecordFormat format = new JsonRecordFormat();
        return new RecordPublisher(log, format, new LogReader(log, format), new WriterId(writer), "rosa", clock);
    }

    private ReplicaState stateFromNewReader() throws Exception {
        LogReader reader = new LogReader(log, new JsonRecordFormat());
        reader.readToEnd();
        return reader.state();
    }
}
