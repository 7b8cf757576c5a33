package org.lacewingthread.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingthread.core.log.LogFixture.CALCA;
import static org.lacewingthread.core.log.LogFixture.MARAS;
import static org.lacewingthread.core.log.LogFixture.offset;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;

class SnapshotPolicyTest {
    private final SnapshotPolicy policy = new SnapshotPolicy(100, 1_000);
    private final LogFixture log = LogFixture.bootstrapped();

    /** The snapshot is at offset 5 and contains the state after offset 4. The leader in maras has rank 1. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "no new records,               calca,   0, 0, 9999, false",
        "a few new records,            calca,  10, 0,  999, false",
        "many records,                 calca, 100, 0,    0, true",
        "many records; second leader,  maras, 100, 0,    0, false",
        "record limit of the second,   maras, 125, 0,    0, true",
        "old snapshot,                 calca,   1, 0, 1000, true",
        "old snapshot; second leader,  maras,   1, 0, 1000, false",
        "time limit of the second,     maras,   1, 0, 1250, true",
        "in the newer half,            calca,   2, 1,    0, false",
        "in the older half,            calca,  10, 1,    0, true",
        "older half; second leader,    maras,   8, 1,    0, false",
        "oldest quarter; second leader, maras,  20, 1,    0, true"
    })
    void isDueReturnsWhetherASnapshotIsNeeded(
            String name, String dataCentre, int records, long oldest, long nowMillis, boolean expected) {
        log.append(new LogRecord.SnapshotTaken(log.state()));
        append(records);

        assertThat(policy.isDue(log.replica, new DataCentreId(dataCentre), offset(oldest), 0, nowMillis))
                .isEqualTo(expected);
    }

    @Test
    void snapshotIsDueAtOnceWhenTheLogHasDroppedRecordsAndHoldsNone() {
        assertThat(policy.isDue(log.replica, CALCA, offset(0), 0, 0)).isFalse();
        assertThat(policy.isDue(log.replica, CALCA, offset(1), 0, 0)).isTrue();
        assertThat(policy.isDue(log.replica, MARAS, offset(1), 0, 0)).isTrue();
    }

    @Test
    void snapshotThatDiffersFromTheReplicaIsCounted() {
        log.append(new LogRecord.SnapshotTaken(log.state()));
        assertThat(log.replica.snapshotMismatchCount()).isZero();
        ReplicaState wrong = ReplicaState.EMPTY.withAppliedOffset(offset(5));
        log.append(new LogRecord.SnapshotTaken(wrong));

        assertThat(log.replica.snapshotMismatchCount()).isEqualTo(1);
        assertThat(log.state().roster(MARAS)).isNotEmpty();
    }

    private void append(int records) {
        for (int i = 0; i < records; i++) {
            log.append(new LogRecord.ServerDrainSet(new ServerId("s1"), i % 2 == 0));
        }
    }
}
