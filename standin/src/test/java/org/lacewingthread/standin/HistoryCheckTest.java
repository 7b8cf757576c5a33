package org.lacewingthread.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HistoryCheckTest {
    private static Run run(String server, String requestId, String key, String shard, long from, long until) {
        return new Run(server, requestId, key, shard, null, "POST", "/holds", from, until);
    }

    /** Columns: request id and idempotency key of two runs, whether they are reported as repeated. */
    @ParameterizedTest
    @CsvSource({
        "r1, k1, r2, k1, true",
        "r1, k1, r2, k2, false",
        "r1, k1, r1, k2, false",
        "r1,   , r1,   , true",
        "r1,   , r2,   , false",
        "  ,   ,   ,   , false"
    })
    void repeatedRunsAreFoundByIdempotencyKeyOrRequestId(
            String firstId, String firstKey, String secondId, String secondKey, boolean repeated) {
        Run first = run("s1", firstId, firstKey, "ledger/1", 10, 20);
        Run second = run("s2", secondId, secondKey, "ledger/2", 30, 40);

        assertThat(HistoryCheck.repeatedRuns(List.of(second, first)))
                .isEqualTo(
                        repeated
                                ? List.of(new HistoryCheck.RepeatedRun(
                                        firstKey == null ? firstId : firstKey, List.of(first, second)))
                                : List.of());
    }

    /** Columns: server, shard, start, end of a second run; whether it overlaps ledger/1 on s1 from 10 to 20. */
    @ParameterizedTest
    @CsvSource({
        "s2, ledger/1, 15, 25, true",
        "s2, ledger/1, 12, 13, true",
        "s2, ledger/1, 5,  11, true",
        "s2, ledger/1, 5,  -1, true",
        "s2, ledger/1, 20, 25, false",
        "s2, ledger/1, 5,  10, false",
        "s1, ledger/1, 15, 25, false",
        "s2, ledger/2, 15, 25, false"
    })
    void overlapsOfOneShardOnTwoServersAreFound(String server, String shard, long from, long until, boolean overlap) {
        Run first = run("s1", "r1", "k1", "ledger/1", 10, 20);
        Run second = run(server, "r2", "k2", shard, from, until);
        long leasedUntil = until == Run.RUNNING ? Long.MAX_VALUE : until;

        assertThat(HistoryCheck.overlappingRuns(List.of(first, second))).hasSize(overlap ? 1 : 0);
        assertThat(HistoryCheck.overlappingLeases(List.of(
                        new LeasePeriod("s1", "ledger/1", "1:0:a:1:1", 10, 20),
                        new LeasePeriod(server, shard, "1:0:a:1:2", from, leasedUntil))))
                .hasSize(overlap ? 1 : 0);
    }

    @Test
    void longRunOverlapsEachLaterRunOnOtherServer() {
        Run longRun = run("s1", "r1", null, "ledger/1", 0, 100);
        Run second = run("s2", "r2", null, "ledger/1", 10, 20);
        Run third = run("s2", "r3", null, "ledger/1", 30, 40);

        assertThat(HistoryCheck.overlappingRuns(List.of(third, longRun, second)))
                .containsExactly(
                        new HistoryCheck.OverlappingRuns(longRun, second),
                        new HistoryCheck.OverlappingRuns(longRun, third));
    }

    @Test
    void runsWithoutShardAreIgnored() {
        assertThat(HistoryCheck.overlappingRuns(
                        List.of(run("s1", "r1", null, null, 0, 9), run("s2", "r2", null, null, 0, 9))))
                .isEmpty();
    }
}
