package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.IdempotencyRecord.Outcome;
import org.lacewingthread.core.traffic.IdempotencyRecords.Verdict;

class IdempotencyRecordsTest {
    private static final ShardId SHARD = new ShardId(new ApplicationId("ledger"), 3);
    private static final IdempotencyRecord.Id KEY = new IdempotencyRecord.Id(SHARD, "k");
    private static final Outcome OUTCOME = new Outcome(200, List.of("A", "b"), new byte[] {1, 2});
    private static final long WINDOW_MILLIS = 1_000;

    private final IdempotencyRecords records =
            new IdempotencyRecords(new IdempotencyRecords.Settings(WINDOW_MILLIS, 3, 4));

    @BeforeEach
    void dispatch() {
        records.startShard(SHARD, RecordContinuity.COMPLETE, 0);
    }

    private Verdict begin(IdempotencyRecord.Id id, long fingerprint, AttemptNumber attempt, long nowMillis) {
        return records.begin(id, id.shard(), fingerprint, attempt, nowMillis).verdict();
    }

    private Verdict begin(long nowMillis) {
        return begin(KEY, 7, AttemptNumber.UNSTATED, nowMillis);
    }

    @Test
    void repeatReplaysTheFirstOutcome() {
        assertThat(begin(0)).isEqualTo(Verdict.RUN);
        assertThat(begin(1)).isEqualTo(Verdict.STILL_RUNNING);
        records.markDone(KEY, OUTCOME);
        IdempotencyRecords.Decision decision = records.begin(KEY, KEY.shard(), 7, AttemptNumber.REPEAT, 2);
        assertThat(decision.verdict()).isEqualTo(Verdict.REPLAY);
        assertThat(decision.outcome()).isEqualTo(OUTCOME);
    }

    @Test
    void repeatOfAnAttemptThatMayHaveRunNeverRuns() {
        begin(0);
        records.markMayHaveRun(KEY);
        assertThat(begin(KEY, 7, AttemptNumber.FIRST, 1)).isEqualTo(Verdict.UNKNOWN);
        assertThat(begin(KEY, 7, AttemptNumber.REPEAT, 1)).isEqualTo(Verdict.UNKNOWN);
    }

    /** Guards against running a key again that another VM ran while an attempt was queued here. */
    @Test
    void recordTransferredWhileAttemptIsQueuedCountsOnceAttemptDidNotRun() {
        begin(0);
        records.addTransferred(new IdempotencyRecord(KEY, 7, IdempotencyRecord.State.DONE, OUTCOME), 1);
        assertThat(begin(2)).isEqualTo(Verdict.STILL_RUNNING);
        records.markNotRun(KEY);
        assertThat(begin(KEY, 7, AttemptNumber.REPEAT, 3)).isEqualTo(Verdict.REPLAY);
    }

    @Test
    void keyIsReusableAfterAnAttemptThatDidNotRun() {
        begin(0);
        records.markNotRun(KEY);
        assertThat(begin(1)).isEqualTo(Verdict.RUN);
    }

    @Test
    void keyUsedForAnotherRequestIsReported() {
        begin(0);
        assertThat(begin(KEY, 8, AttemptNumber.UNSTATED, 1)).isEqualTo(Verdict.REUSED);
    }

    @Test
    void repeatIsUnknownIfTheOutcomeWasTooLargeToKeep() {
        begin(0);
        records.markDone(KEY, new Outcome(200, List.of(), new byte[5]));
        assertThat(begin(1)).isEqualTo(Verdict.UNKNOWN);
    }

    @Test
    void runningRecordIsKeptBeyondTheWindowAndAFinishedOneIsNot() {
        begin(0);
        assertThat(begin(WINDOW_MILLIS + 1)).isEqualTo(Verdict.STILL_RUNNING);
        records.markDone(KEY, OUTCOME);
        assertThat(begin(WINDOW_MILLIS + 2)).isEqualTo(Verdict.RUN);
    }

    @Test
    void newKeysAreRefusedWhileAllRecordsAreWithinTheWindow() {
        for (String key : List.of("a", "b", "c")) {
            begin(new IdempotencyRecord.Id(SHARD, key), 1, AttemptNumber.FIRST, 0);
            records.markDone(new IdempotencyRecord.Id(SHARD, key), OUTCOME);
        }
        assertThat(begin(1)).isEqualTo(Verdict.FULL);
        assertThat(begin(WINDOW_MILLIS)).isEqualTo(Verdict.RUN);
        assertThat(records.size()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({
        "COMPLETE, FIRST, RUN",
        "COMPLETE, UNSTATED, RUN",
        "COMPLETE, REPEAT, RUN",
        "NO_KNOWN_PREDECESSOR, FIRST, RUN",
        "NO_KNOWN_PREDECESSOR, UNSTATED, RUN",
        "NO_KNOWN_PREDECESSOR, REPEAT, UNKNOWN",
        "PREDECESSOR_LOST, FIRST, RUN",
        "PREDECESSOR_LOST, UNSTATED, UNKNOWN",
        "PREDECESSOR_LOST, REPEAT, UNKNOWN",
    })
    void requestWithoutRecordRunsOnlyIfAnEarlierRunIsExcluded(
            RecordContinuity continuity, AttemptNumber attempt, Verdict verdict) {
        records.startShard(SHARD, continuity, 0);
        assertThat(begin(KEY, 7, attempt, 10)).isEqualTo(verdict);
        records.markNotRun(KEY);
        assertThat(begin(KEY, 7, attempt, WINDOW_MILLIS)).isEqualTo(Verdict.RUN);
    }

    @Test
    void requestOfAShardNotDispatchedHereIsUnknown() {
        records.endShard(SHARD);
        assertThat(begin(1)).isEqualTo(Verdict.UNKNOWN);
    }

    @Test
    void transferredRunningRecordMayHaveRunAtTheNextDispatcher() {
        begin(0);
        IdempotencyRecords next = new IdempotencyRecords(new IdempotencyRecords.Settings(WINDOW_MILLIS, 3, 4));
        next.startShard(SHARD, RecordContinuity.COMPLETE, 5);
        records.transferCopies(Set.of(SHARD)).forEach(record -> next.addTransferred(record, 5));
        assertThat(next.begin(KEY, KEY.shard(), 7, AttemptNumber.FIRST, 6).verdict())
                .isEqualTo(Verdict.UNKNOWN);
        assertThat(records.transferCopies(Set.of(new ShardId(SHARD.application(), 4))))
                .isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"1, FIRST", "2, REPEAT", "9999, REPEAT", "0,", "-1,", "x,", "10000,", "'',"})
    void attemptNumberIsParsedOrRejected(String text, AttemptNumber expected) {
        assertThat(AttemptNumber.parse(text).orElse(null)).isEqualTo(expected);
    }
}
