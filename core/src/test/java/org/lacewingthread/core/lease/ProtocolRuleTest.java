package org.lacewingthread.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Shows for each rule that the checks notice when it is left out. */
class ProtocolRuleTest {
    private static final int RUNS = 20;

    @ParameterizedTest
    @EnumSource(
            value = ProtocolRule.class,
            names = {"ONE_HOLDER", "WAIT_BEFORE_TAKEOVER"})
    void randomHistoriesViolateSafetyWithoutRule(ProtocolRule rule) {
        long violated = 0;
        for (long seed = 0; seed < RUNS; seed++) {
            violated += new LeaseHistory(seed, allBut(rule)).runRandomly().isEmpty() ? 0 : 1;
        }

        assertThat(violated).isPositive();
    }

    @Test
    void clockMarginPreventsOverlapOfFastGrantorAndSlowHolder() {
        assertThat(leasesOverlap(EnumSet.allOf(ProtocolRule.class))).isFalse();
        assertThat(leasesOverlap(allBut(ProtocolRule.CLOCK_MARGIN))).isTrue();
    }

    /** Returns whether a giver whose clock is 2% faster gives its lease on while the holder still relies on it. */
    private static boolean leasesOverlap(Set<ProtocolRule> rules) {
        LeaderLeaseScenario script = new LeaderLeaseScenario(rules, 1, 2, 3);
        script.setClockRate(1, 0.99);
        script.setClockRate(2, 1.01);
        script.requestLeases(1, 2);
        boolean overlaps = false;
        for (int millis = 1; millis < 1_000; millis++) {
            script.advanceTime(1);
            script.requestLeases(3, 2);
            overlaps |= script.holds(1, 2) && script.holds(3, 2);
        }
        return overlaps;
    }

    @Test
    void vmWithNewerRosterRefusesRequestUnderOlderRoster() {
        assertThat(hasSecondLeaderUnderOldRoster(EnumSet.allOf(ProtocolRule.class), true))
                .isFalse();
        assertThat(hasSecondLeaderUnderOldRoster(allBut(ProtocolRule.STALE_ROSTER_REFUSED), true))
                .isTrue();
    }

    @Test
    void rosterChangesAgainOnlyAfterMajorityAcknowledgedIt() {
        assertThat(hasSecondLeaderUnderOldRoster(EnumSet.allOf(ProtocolRule.class), false))
                .isFalse();
        assertThat(hasSecondLeaderUnderOldRoster(allBut(ProtocolRule.MAJORITY_BEFORE_NEXT_CHANGE), false))
                .isTrue();
    }

    /**
     * Roster {1,2,3}: 2 leads, adds 4 and 5 in quick succession; 1 is cut from the log but not from 3. Returns
     * whether 1 then leads with {1,3} of the old roster while 2 leads with {2,4,5} of the new.
     */
    private static boolean hasSecondLeaderUnderOldRoster(Set<ProtocolRule> rules, boolean thirdReadsTheLog) {
        LeaderLeaseScenario script = new LeaderLeaseScenario(rules, 1, 2, 3);
        script.requestLeases(2, 2, 3);
        script.addMember(2, 4);
        script.readRoster(4);
        if (thirdReadsTheLog) {
            script.readRoster(3);
        }
        script.requestLeases(2, 2, 3, 4);
        script.addMember(2, 5);
        script.readRoster(5);
        script.advanceTime(400);
        script.requestLeases(2, 2, 4, 5);
        script.advanceTime(200);
        script.requestLeases(2, 2, 4, 5);
        script.requestLeases(1, 1, 3);
        return script.leads(1) && script.leads(2);
    }

    @Test
    void rosterIsNotAcknowledgedWhileLeaseRequestedUnderOlderRosterRuns() {
        assertThat(hasSecondLeaderUnderOldLease(EnumSet.allOf(ProtocolRule.class)))
                .isFalse();
        assertThat(hasSecondLeaderUnderOldLease(allBut(ProtocolRule.ACKNOWLEDGEMENT_HELD_BACK)))
                .isTrue();
    }

    /**
     * Roster {1,2,3,4,5}: 4 leads with {3,4,5} and adds 6; 1 and 3 are cut from the log; 2 has given its lease
     * to 1 before it learns of the change. Returns whether 1 comes to lead with {1,2,3} of the old roster while
     * 4 leads with {4,5,6,7} of the one after the next.
     */
    private static boolean hasSecondLeaderUnderOldLease(Set<ProtocolRule> rules) {
        LeaderLeaseScenario script = new LeaderLeaseScenario(rules, 1, 2, 3, 4, 5);
        script.requestLeases(4, 3, 4, 5);
        script.addMember(4, 6);
        script.readRoster(5, 6);
        script.requestLeases(4, 3, 4, 5, 6);
        script.advanceTime(300);
        script.requestLeases(1, 1, 2);
        script.readRoster(2);
        script.requestLeases(4, 2, 4, 5, 6);
        script.addMember(4, 7);
        script.readRoster(5, 6, 7);
        script.requestLeases(4, 4, 5, 6, 7);
        script.advanceTime(215);
        script.requestLeases(1, 3);
        return script.leads(1) && script.leads(4);
    }

    private static Set<ProtocolRule> allBut(ProtocolRule rule) {
        return EnumSet.complementOf(EnumSet.of(rule));
    }
}
