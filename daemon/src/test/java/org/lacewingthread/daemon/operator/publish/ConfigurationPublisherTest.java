package org.lacewingthread.daemon.operator.publish;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.lacewingthread.daemon.operator.publish.FakeLog.AppendFault.DELAYED;
import static org.lacewingthread.daemon.operator.publish.FakeLog.AppendFault.LOST_AFTER_EFFECT;
import static org.lacewingthread.daemon.operator.publish.FakeLog.AppendFault.LOST_BEFORE_EFFECT;
import static org.lacewingthread.daemon.operator.publish.FakeLog.AppendFault.RATE_EXCEEDED;
import static org.lacewingthread.daemon.operator.publish.FakeLog.AppendFault.UNAVAILABLE;

import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.ConfigurationValidator;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.daemon.operator.publish.FakeLog.AppendFault;

class ConfigurationPublisherTest {
    private static final long DEADLINE_MILLIS = 10_000;

    private final FakeLog log = new FakeLog();
    private final LogReader reader = new LogReader(log, log);
    private final RecordPublisher records = new RecordPublisher(log, log, reader, new WriterId("cli-1"), "rosa", log);
    private final ConfigurationPublisher publisher = new ConfigurationPublisher(records);

    static Stream<Arguments> transientFaults() {
        return Stream.of(
                arguments("no fault", List.of(), 0, 1, 1, 0L),
                arguments("response lost, record appended", List.of(LOST_AFTER_EFFECT), 0, 1, 1, 0L),
                arguments("response lost, record not appended", List.of(LOST_BEFORE_EFFECT), 0, 2, 1, 200L),
                arguments("response lost twice", List.of(LOST_BEFORE_EFFECT, LOST_AFTER_EFFECT), 0, 2, 1, 200L),
                arguments("delayed append, then appended again", List.of(DELAYED), 0, 2, 2, 200L),
                arguments("rate exceeded", List.of(RATE_EXCEEDED, RATE_EXCEEDED), 0, 3, 1, 1_400L),
                arguments("unavailable", List.of(UNAVAILABLE), 0, 2, 1, 200L),
                arguments("first reads fail", List.of(), 3, 1, 1, 600L),
                arguments(
                        "rate exceeded, then responses lost",
                        List.of(RATE_EXCEEDED, LOST_BEFORE_EFFECT, UNAVAILABLE, LOST_AFTER_EFFECT),
                        1,
                        4,
                        1,
                        1_300L));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("transientFaults")
    void publishSucceedsAfterTransientFaults(
            String name, List<AppendFault> faults, int failingReads, int appends, int copies, long millis)
            throws Exception {
        log.appendFaults.addAll(faults);
        log.failingReads = failingReads;

        LogOffset revision = publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS);

        assertThat(revision).isEqualTo(new LogOffset(0));
        assertThat(reader.state().configuration()).isEqualTo(configuration("ledger"));
        assertThat(log.appendCount).isEqualTo(appends);
        assertThat(log.entries).hasSize(copies);
        assertThat(log.nowMillis).isEqualTo(millis);
        assertThat(stateOfNewReplica().configurationRevision()).isEqualTo(revision);
    }

    static Stream<Arguments> persistentFaults() {
        return Stream.of(
                arguments(UNAVAILABLE, PublishException.NotPublished.class),
                arguments(RATE_EXCEEDED, PublishException.NotPublished.class),
                arguments(LOST_BEFORE_EFFECT, PublishException.OutcomeUnknown.class),
                arguments(DELAYED, PublishException.OutcomeUnknown.class));
    }

    @ParameterizedTest
    @MethodSource("persistentFaults")
    void persistentFaultThrowsNotPublishedOrOutcomeUnknownAtDeadline(
            AppendFault fault, Class<? extends Exception> expected) {
        log.appendFaults.addAll(Collections.nCopies(100, fault));

        assertThatThrownBy(() -> publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS))
                .isInstanceOf(expected);
        assertThat(log.nowMillis).isLessThanOrEqualTo(DEADLINE_MILLIS);
        assertThat(log.entries).isEmpty();
    }

    @Test
    void publishThrowsOutcomeUnknownIfTheRecordCannotBeReadBack() {
        log.beforeAppend = fake -> fake.failingReads = 1_000;

        assertThatThrownBy(() -> publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS))
                .isInstanceOf(PublishException.OutcomeUnknown.class)
                .hasMessageContaining("cli-1")
                .hasMessageContaining("can't be read");
        assertThat(log.appendCount).isEqualTo(1);
    }

    @Test
    void publishThrowsNotPublishedIfTheLogCannotBeReadFirst() {
        log.failingReads = 1_000;

        assertThatThrownBy(() -> publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS))
                .isInstanceOf(PublishException.NotPublished.class);
        assertThat(log.appendCount).isZero();
    }

    @Test
    void outdatedBaseRevisionThrowsConflictWithoutAppend() {
        log.add("other", 0, publication(LogOffset.NONE, "desk"));

        assertThatThrownBy(() -> publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS))
                .isInstanceOf(PublishException.Conflict.class)
                .hasMessage("configuration is at revision 0, not at -1; compare with it and publish on its base");
        assertThat(log.appendCount).isZero();
    }

    static Stream<Arguments> concurrentPublishFaults() {
        return Stream.of(
                arguments("no fault", List.of()),
                arguments("response lost, record appended", List.of(LOST_AFTER_EFFECT)),
                arguments("response lost, record not appended", List.of(LOST_BEFORE_EFFECT)),
                arguments("delayed append", List.of(DELAYED)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("concurrentPublishFaults")
    void loserOfConcurrentPublishesGetsConflict(String name, List<AppendFault> faults) {
        log.appendFaults.addAll(faults);
        log.beforeAppend = fake -> {
            if (fake.entries.isEmpty()) {
                fake.add("other", 0, publication(LogOffset.NONE, "desk"));
            }
        };

        assertThatThrownBy(() -> publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS))
                .isInstanceOf(PublishException.Conflict.class)
                .hasMessageContaining("revision 0, not at -1");
        assertThat(stateOfNewReplica().configuration()).isEqualTo(configuration("desk"));
    }

    @Test
    void delayedDuplicateIsIgnored() throws Exception {
        log.appendFaults.add(DELAYED);
        LogOffset first = publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS);
        LogOffset second = publisher.publish(first, configuration("desk"), DEADLINE_MILLIS);

        assertThat(log.entries).hasSize(3);
        assertThat(second).isEqualTo(new LogOffset(2));
        assertThat(stateOfNewReplica().configuration()).isEqualTo(configuration("desk"));
    }

    @Test
    void invalidConfigurationIsRejectedWithoutAppend() {
        RoutingConfiguration twice =
                new RoutingConfiguration(List.of(application("ledger", 16), application("ledger", 16)), List.of());

        assertThatThrownBy(() -> publisher.publish(LogOffset.NONE, twice, DEADLINE_MILLIS))
                .isInstanceOfSatisfying(PublishException.Invalid.class, invalid -> assertThat(invalid.problems())
                        .extracting(ConfigurationValidator.Problem::kind)
                        .containsExactly(ConfigurationValidator.Kind.DUPLICATE_APPLICATION));
        assertThat(log.appendCount).isZero();
    }

    @Test
    void recordRejectedByTheReplicaThrowsConflict() {
        assertThatThrownBy(
                        () -> records.publish(new LogRecord.ServerDrainSet(new ServerId("s9"), true), DEADLINE_MILLIS))
                .isInstanceOf(PublishException.Conflict.class)
                .hasMessage("server \"s9\" is not configured");
    }

    @Test
    void publishSucceedsIfASnapshotCoversTheExpiredRecord() throws Exception {
        log.appendFaults.add(LOST_AFTER_EFFECT);
        log.beforeRead = fake -> expireRecordsCoveredBySnapshot();

        assertThat(publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS))
                .isEqualTo(new LogOffset(0));
    }

    @Test
    void duplicateAfterTheSnapshotDoesNotHideTheFirstCopy() throws Exception {
        log.appendFaults.add(LOST_AFTER_EFFECT);
        log.beforeAppend = fake -> {
            if (fake.entries.isEmpty()) {
                fake.failingReads = 1;
            } else {
                expireRecordsCoveredBySnapshot();
            }
        };

        assertThat(publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS))
                .isEqualTo(new LogOffset(0));
        assertThat(log.entries).hasSize(3);
    }

    @Test
    void publishThrowsOutcomeUnknownIfTheRecordExpiredAndWasSuperseded() {
        log.appendFaults.add(LOST_AFTER_EFFECT);
        log.beforeRead = fake -> {
            if (fake.entries.size() == 1) {
                fake.add("other", 0, publication(new LogOffset(0), "desk"));
                expireRecordsCoveredBySnapshot();
            }
        };

        assertThatThrownBy(() -> publisher.publish(LogOffset.NONE, configuration("ledger"), DEADLINE_MILLIS))
                .isInstanceOf(PublishException.OutcomeUnknown.class)
                .hasMessageContaining("expired");
    }

    private void expireRecordsCoveredBySnapshot() {
        if (log.entries.isEmpty() || log.oldest > 0) {
            return;
        }
        log.add("leader", 0, new LogRecord.SnapshotTaken(stateOfNewReplica()));
        log.oldest = log.entries.get(log.entries.size() - 1).offset().value();
    }

    private ReplicaState stateOfNewReplica() {
        LogReplica replica = new LogReplica();
        log.entries.forEach(replica::apply);
        return replica.state();
    }

    private static LogRecord publication(LogOffset base, String application) {
        return new LogRecord.ConfigurationPublished(base, configuration(application));
    }

    private static RoutingConfiguration configuration(String application) {
        return new RoutingConfiguration(List.of(application(application, 16)), List.of());
    }

    private static ApplicationSpec application(String id, int shardCount) {
        return new ApplicationSpec(
                new ApplicationId(id), shardCount, PlacementProfile.MINIMISE_CHURN, List.of(), List.of());
    }
}
