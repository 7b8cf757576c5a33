package org.lacewingthread.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * Checks exclusive leadership and dispatch under random faults. {@code -Dlease.history.runs} sets the number of runs.
 */
class LeaseHistoryTest {
    private static final int RUNS = Integer.getInteger("lease.history.runs", 60);

    @Test
    void leadersDispatchersAndOwnersStayExclusiveAndGroupRecoversAfterRandomFaults() {
        for (long seed = 0; seed < RUNS; seed++) {
            LeaseHistory history = new LeaseHistory(seed, EnumSet.allOf(ProtocolRule.class));
            assertThat(history.runRandomly()).as("seed %d", seed).isEmpty();
            assertThat(history.recover()).as("recovery with seed %d", seed).isNotNegative();
            assertThat(history.group.checks.violations).as("seed %d", seed).isEmpty();
        }
    }

    @Test
    void recordedAssignmentsAreKeptAndEveryShardIsServedAgainAfterRandomFaults() {
        for (long seed = 0; seed < RUNS; seed++) {
            LeaseHistory history = new LeaseHistory(seed, EnumSet.allOf(ProtocolRule.class), 4);
            assertThat(history.runRandomly()).as("seed %d", seed).isEmpty();
            assertThat(history.recover()).as("recovery with seed %d", seed).isNotNegative();
            assertThat(history.group.checks.violations).as("seed %d", seed).isEmpty();
        }
    }

    /** Guards against acting on an append as refused although it takes effect after the retries. */
    @Test
    void lateAppendsWithoutAnswerCauseNoSecondOwnerAndGroupRecovers() {
        for (long seed = 0; seed < RUNS; seed++) {
            LeaseHistory history = new LeaseHistory(seed, EnumSet.allOf(ProtocolRule.class), 4);
            history.group.log.lateRatio = 0.3;
            assertThat(history.runRandomly()).as("seed %d", seed).isEmpty();
            assertThat(history.recover()).as("recovery with seed %d", seed).isNotNegative();
            assertThat(history.group.checks.violations).as("seed %d", seed).isEmpty();
        }
    }

    /** Guards against a lease that a server counts from a late order and its leader from the decision. */
    @Test
    void ordersSentJustBeforeTheirDeadlineCauseNoSecondLeaseHolder() {
        Map<Long, List<String>> violationsBySeed = new TreeMap<>();
        for (long seed = 0; seed <= RUNS; seed++) {
            LeaseHistory history = new LeaseHistory(seed, EnumSet.allOf(ProtocolRule.class), 4);
            history.group.servers.lateOrderRatio = 0.5;
            violationsBySeed.put(seed, history.runRandomly());
        }
        violationsBySeed.values().removeIf(List::isEmpty);
        assertThat(violationsBySeed).isEmpty();
    }

    @Property(tries = 40, seed = "20")
    void upToFourFaultsCauseNoViolationAndGroupRecovers(@ForAll("faults") List<Fault> faults, @ForAll long seed) {
        LeaseHistory history = new LeaseHistory(seed, EnumSet.allOf(ProtocolRule.class));

        assertThat(history.run(faults, 300)).isEmpty();
        assertThat(history.recover()).isNotNegative();
        assertThat(history.group.checks.violations).isEmpty();
    }

    @Provide
    Arbitrary<List<Fault>> faults() {
        Arbitrary<Fault> fault = Combinators.combine(
                        Arbitraries.of(Fault.Kind.class),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.longs().between(20, 3_000))
                .as(Fault::new);
        return fault.list().ofMinSize(1).ofMaxSize(4);
    }
}
