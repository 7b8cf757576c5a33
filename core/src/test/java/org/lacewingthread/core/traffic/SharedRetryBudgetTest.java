package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SharedRetryBudgetTest {
    private static final double SLACK = 138;

    /** Guards against entry VMs that each keep a dozenth of the shared retries however many there are. */
    @ParameterizedTest
    @ValueSource(ints = {12, 30, 95})
    void entryVmsTogetherSaveUpNoMoreThanTheSharedSlack(int entryVmCount) {
        long retries = Stream.generate(() -> new RetryBudget(0.14, SLACK / 12))
                .limit(entryVmCount)
                .peek(budget -> budget.setMaxTokens(SLACK / entryVmCount))
                .mapToLong(budget -> Stream.generate(budget::tryTake)
                        .takeWhile(taken -> taken)
                        .count())
                .sum();
        assertThat(retries).isBetween((long) (SLACK / 2), (long) SLACK);
    }
}
