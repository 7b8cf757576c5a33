package org.lacewingthread.daemon.operator.publish;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.control.AuditLine;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.daemon.platform.LogException;

class LogReaderTest {
    private final FakeLog log = new FakeLog();
    private final LogHistory history = new LogHistory();
    private final LogReader reader = new LogReader(log, log, history);

    @Test
    void emptyLogGivesEmptyState() throws Exception {
        reader.readToEnd();

        assertThat(reader.state()).isEqualTo(ReplicaState.EMPTY);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 100})
    void stateIsTheSameForAnyBatchSize(int recordsPerRead) throws Exception {
        addPublications(7);
        log.recordsPerRead = recordsPerRead;

        reader.readToEnd();

        assertThat(reader.state()).isEqualTo(stateAfter(7));
        assertThat(history.audit()).hasSize(7);
    }

    @ParameterizedTest(name = "oldest {0} with a snapshot at 4 that covers offsets up to {1}")
    @CsvSource({"1, 3", "4, 3", "3, 2", "2, 1"})
    void readerStartsFromSnapshotIfFirstRecordsExpired(long oldest, int covered) throws Exception {
        addPublications(4);
        ReplicaState snapshot = stateAfter(covered + 1);
        log.add("leader", 0, new LogRecord.SnapshotTaken(snapshot));
        log.add("w", 4, new LogRecord.ConfigurationPublished(new LogOffset(3), RoutingConfiguration.EMPTY));
        log.oldest = oldest;

        reader.readToEnd();

        assertThat(reader.state()).isEqualTo(stateAfter(6));
    }

    @ParameterizedTest(name = "oldest {0} with a snapshot that covers offsets up to {1}")
    @CsvSource({"3, 1", "4, 2", "5, 3"})
    void readerThrowsLogGapIfSnapshotDoesNotCoverExpiredRecords(long oldest, int covered) throws Exception {
        addPublications(4);
        log.add("leader", 0, new LogRecord.SnapshotTaken(stateAfter(covered + 1)));
        log.add("w", 4, new LogRecord.ConfigurationPublished(new LogOffset(3), RoutingConfiguration.EMPTY));
        log.oldest = oldest;

        assertThatThrownBy(reader::readToEnd)
                .isInstanceOf(LogGapException.class)
                .hasMessageContaining("below " + oldest)
                .hasMessageContaining("record 0 is needed");
        assertThat(reader.state()).isEqualTo(ReplicaState.EMPTY);
    }

    @Test
    void laggingReaderRestoresNewerSnapshotAfterRecordsExpire() throws Exception {
        addPublications(2);
        reader.readToEnd();
        log.add("w", 2, new LogRecord.ConfigurationPublished(new LogOffset(1), RoutingConfiguration.EMPTY));
        log.add("leader", 0, new LogRecord.SnapshotTaken(stateAfter(3)));
        log.oldest = 3;

        reader.readToEnd();

        assertThat(reader.state()).isEqualTo(stateAfter(4));
    }

    @Test
    void readerKeepsAppliedRecordsWhenAReadFails() throws Exception {
        addPublications(4);
        log.recordsPerRead = 2;
        log.beforeRead =
                fake -> fake.failingReads = reader.state().appliedOffset().value() == 1 ? 1 : 0;
        assertThatThrownBy(reader::readToEnd).isInstanceOf(LogException.Unavailable.class);
        assertThat(reader.state()).isEqualTo(stateAfter(2));

        log.beforeRead = fake -> fake.failingReads = 0;
        reader.readToEnd();
        assertThat(reader.state()).isEqualTo(stateAfter(4));
    }

    @Test
    void historyListsRevisionsAndAuditLines() throws Exception {
        addPublications(2);
        log.add("late", 0, new LogRecord.ConfigurationPublished(LogOffset.NONE, RoutingConfiguration.EMPTY));
        reader.readToEnd();

        assertThat(history.audit()).extracting(AuditLine::accepted).containsExactly(true, true, false);
        assertThat(history.revisions())
                .extracting(revision -> revision.line().offset().value())
                .containsExactly(0L, 1L, 2L);
        assertThat(history.revisions().get(2).line().detail()).startsWith("conflict: configuration is at revision 1");
    }

    private void addPublications(int count) {
        for (int i = 0; i < count; i++) {
            log.add("w", i, new LogRecord.ConfigurationPublished(new LogOffset(i - 1L), RoutingConfiguration.EMPTY));
        }
    }

    private ReplicaState stateAfter(int count) {
        LogReplica replica = new LogReplica();
        List.copyOf(log.entries).subList(0, count).forEach(replica::apply);
        return replica.state();
    }
}
