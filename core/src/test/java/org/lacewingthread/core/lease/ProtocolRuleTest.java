package org.lacewingthread.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards the safety checks themselves: for each protocol rule, a history or scenario that is safe with all rules must
 * violate safety when that rule is omitted.
 */
class ProtocolRuleTest {
    private static final int RUNS = 20;

    @ParameterizedTest
    @EnumSource(
            value = ProtocolRule.class,
            names = {"ONE_HOLDER", "WAIT_BEFORE_TAKEOVER"})
    void randomHistoriesViolateSafetyWithoutRule(ProtocolRule rule) {
        long violated = 0;
        for (long seed = 0; seed < RUNS; seed++) {
            violated += new LeaseHistory(seed, allExcept(rule)).runRandomly().isEmpty() ? 0 : 1;
        }

        assertThat(violated).isPositive();
    }

    @Test
    void clockMarginPreventsOverlapOfFastGrantorAndSlowHolder() {
        assertThat(leasesOverlap(EnumSet.allOf(ProtocolRule.class))).isFalse();
        assertThat(leasesOverlap(allExcept(ProtocolRule.CLOCK_MARGIN))).isTrue();
    }

    /** Returns whether a grantor with a 2% faster clock grants its lease again while its holder still relies on it. */
    private static boolean leasesOverlap(Set<ProtocolRule> rules) {
        LeaderLeaseScenario scenario = new LeaderLeaseScenario(rules, 1, 2, 3);
        scenario.setClockRate(1, 0.99);
        scenario.setClockRate(2, 1.01);
        scenario.requestLeases(1, 2);
        boolean overlaps = false;
        for (int millis = 1; millis < 1_000; millis++) {
            scenario.advanceTime(1);
            scenario.requestLeases(3, 2);
            overlaps |= scenario.holds(1, 2) && scenario.holds(3, 2);
        }
        return overlaps;
    }

    @Test
    void vmWithNewerRosterRefusesRequestUnderOlderRoster() {
        assertThat(hasSecondLeaderUnderOldRoster(EnumSet.allOf(ProtocolRule.class), true))
                .isFalse();
        assertThat(hasSecondLeaderUnderOldRoster(allExcept(ProtocolRule.STALE_ROSTER_REFUSED), true))
                .isTrue();
    }

    @Test
    void rosterChangesAgainOnlyAfterMajorityAcknowledgedIt() {
        assertThat(hasSecondLeaderUnderOldRoster(EnumSet.allOf(ProtocolRule.class), false))
                .isFalse();
        assertThat(hasSecondLeaderUnderOldRoster(allExcept(ProtocolRule.MAJORITY_BEFORE_NEXT_CHANGE), false))
                .isTrue();
    }

    /**
     * Roster {1,2,3}: VM 2 leads and adds 4 and 5 in quick succession. VM 1 cannot read the log but reaches 3.
     *
     * @return whether 1 then leads with the majority {1,3} of the old roster while 2 leads with {2,4,5} of the new one
     */
    private static boolean hasSecondLeaderUnderOldRoster(Set<ProtocolRule> rules, boolean thirdReadsLog) {
        LeaderLeaseScenario scenario = new LeaderLeaseScenario(rules, 1, 2, 3);
        scenario.requestLeases(2, 2, 3);
        scenario.addMember(2, 4);
        scenario.readRoster(4);
        if (thirdReadsLog) {
            scenario.readRoster(3);
        }
        scenario.requestLeases(2, 2, 3, 4);
        scenario.addMember(2, 5);
        scenario.readRoster(5);
        scenario.advanceTime(400);
        scenario.requestLeases(2, 2, 4, 5);
        scenario.advanceTime(200);
        scenario.requestLeases(2, 2, 4, 5);
        scenario.requestLeases(1, 1, 3);
        return scenario.leads(1) && scenario.leads(2);
    }

    @Test
    void rosterIsNotAcknowledgedWhileLeaseRequestedUnderOlderRosterRuns() {
        assertThat(hasSecondLeaderUnderOldLease(EnumSet.allOf(ProtocolRule.class)))
                .isFalse();
        assertThat(hasSecondLeaderUnderOldLease(allExcept(ProtocolRule.ACKNOWLEDGEMENT_HELD_BACK)))
                .isTrue();
    }

    /**
     * Roster {1,2,3,4,5}: VM 4 leads with {3,4,5} and adds 6. VMs 1 and 3 cannot read the log. VM 2 has granted its
     * lease to 1 before it reads the change.
     *
     * @return whether 1 then leads with {1,2,3} of the old roster while 4 leads with {4,5,6,7} of the roster two
     *     changes later
     */
    private static boolean hasSecondLeaderUnderOldLease(Set<ProtocolRule> rules) {
        LeaderLeaseScenario scenario = new LeaderLeaseScenario(rules, 1, 2, 3, 4, 5);
        scenario.requestLeases(4, 3, 4, 5);
        scenario.addMember(4, 6);
        scenario.readRoster(5, 6);
        scenario.requestLeases(4, 3, 4, 5, 6);
        scenario.advanceTime(300);
        scenario.requestLeases(1, 1, 2);
        scenario.readRoster(2);
        scenario.requestLeases(4, 2, 4, 5, 6);
        scenario.addMember(4, 7);
        scenario.readRoster(5, 6, 7);
        scenario.requestLeases(4, 4, 5, 6, 7);
        scenario.advanceTime(215);
        scenario.requestLeases(1, 3);
        return scenario.leads(1) && scenario.leads(4);
    }

    private static Set<ProtocolRule> allExcept(ProtocolRule rule) {
        return EnumSet.complementOf(EnumSet.of(rule));
    }
}
