package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServiceId;

class SharedRetryBudgetTest {
    private static final double SLACK = 138;
    private static final ServiceId SERVICE = new ServiceId("reads");

    /** Guards against entry VMs that each keep a dozenth of the shared retries however many there are. */
    @ParameterizedTest
    @ValueSource(ints = {12, 30, 95})
    void entryVmsTogetherSaveUpNoMoreThanTheSharedSlack(int entryVmCount) {
        long retries = Stream.generate(() -> new ServiceRetryBudget(0.14, SLACK / 12, 10_000))
                .limit(entryVmCount)
                .peek(budget -> budget.setSlack(SLACK / entryVmCount))
                .mapToLong(budget -> Stream.generate(() -> budget.tryTake(SERVICE, 0))
                        .takeWhile(taken -> taken)
                        .count())
                .sum();
        assertThat(retries).isBetween((long) (SLACK / 2), (long) SLACK);
    }
}
