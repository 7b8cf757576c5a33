package org.lacewingthread.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Plays 70 VMs, one of which leads, and the store's group in virtual time. Load: 20 joins of each VM in 10 s, of which only
 * those of the leader and its standbys are needed.
 */
class GroupMembershipTest {
    private static final int VM_COUNT = 70;
    private static final int LEADER = 0;
    private static final int STANDBY_COUNT = 6;
    private static final long STEP_MILLIS = 10;
    private static final long REPORT_INTERVAL_MILLIS = 500;
    private static final long JOIN_INTERVAL_MILLIS = 500;
    private static final long MEMBERSHIP_TTL_MILLIS = 1_500;
    /** When VMs are lost, long after all of them have heard of the leader. */
    private static final long LOSS_MILLIS = 5_000;

    private final Random random = new Random(11);

    /** The store's group: the first member holds the lead until its membership expires. */
    private static final class Group {
        private final Map<Integer, Long> expiryByMember = new TreeMap<>();
        private int holder = -1;
        private int joins;

        boolean join(int member, long nowMillis) {
            joins++;
            expiryByMember.values().removeIf(expiry -> expiry < nowMillis);
            expiryByMember.put(member, nowMillis + MEMBERSHIP_TTL_MILLIS);
            holder = expiryByMember.containsKey(holder) ? holder : member;
            return holder == member;
        }
    }

    /** What a play showed. */
    private record Outcome(long selectedMillis, int joinsBeforeLoss, List<Long> rejoinMillis) {}

    /** Plays until another VM is selected; VMs join always if they know no membership. */
    private Outcome play(boolean allJoinAlways, Set<Integer> lost) {
        Group group = new Group();
        List<GroupMembership> memberships = new ArrayList<>();
        long[] nextJoinMillis = new long[VM_COUNT];
        long[] reportPhaseMillis = new long[VM_COUNT];
        boolean[] hasRejoined = new boolean[VM_COUNT];
        List<Long> rejoinMillis = new ArrayList<>();
        for (int vm = 0; vm < VM_COUNT; vm++) {
            memberships.add(new GroupMembership(JOIN_INTERVAL_MILLIS, random::nextDouble));
            nextJoinMillis[vm] = vm == LEADER ? 0 : STEP_MILLIS * random.nextInt(1, 50);
            reportPhaseMillis[vm] = STEP_MILLIS * random.nextInt(50);
        }
        memberships.get(LEADER).setLeading(true);
        int joinsBefore = 0;
        for (long now = 0; now < 2 * LOSS_MILLIS; now += STEP_MILLIS) {
            boolean lossHappened = now >= LOSS_MILLIS;
            joinsBefore = lossHappened ? joinsBefore : group.joins;
            for (int vm = 0; vm < VM_COUNT; vm++) {
                if (lossHappened && lost.contains(vm)) {
                    continue;
                }
                boolean reports = now % REPORT_INTERVAL_MILLIS == reportPhaseMillis[vm];
                if (vm != LEADER && reports && !lossHappened) {
                    memberships.get(vm).onLeaderAnswer(vm <= STANDBY_COUNT, true, 0, now);
                }
                boolean mayJoin = allJoinAlways || memberships.get(vm).isMember(now);
                if (!mayJoin || now < nextJoinMillis[vm]) {
                    continue;
                }
                nextJoinMillis[vm] = now + JOIN_INTERVAL_MILLIS;
                if (lossHappened && !hasRejoined[vm]) {
                    hasRejoined[vm] = true;
                    rejoinMillis.add(now - LOSS_MILLIS);
                }
                if (group.join(vm, now) && lossHappened) {
                    return new Outcome(now - LOSS_MILLIS, joinsBefore, rejoinMillis);
                }
            }
        }
        throw new AssertionError("no VM was selected within " + LOSS_MILLIS + " ms of the loss");
    }

    private static Set<Integer> leaderAndStandbys() {
        return IntStream.rangeClosed(LEADER, STANDBY_COUNT).boxed().collect(Collectors.toSet());
    }

    /** Guards against a slower take-over, also when nobody who joined is left: at most a join interval more than before. */
    @Test
    void takeOverTakesAtMostOneJoinIntervalLongerThanIfAllVmsJoined() {
        for (Set<Integer> lost : List.of(Set.of(LEADER), leaderAndStandbys())) {
            for (int i = 0; i < 50; i++) {
                long longestBeforeMillis = MEMBERSHIP_TTL_MILLIS + JOIN_INTERVAL_MILLIS;
                assertThat(play(true, lost).selectedMillis()).isLessThanOrEqualTo(longestBeforeMillis);
                assertThat(play(false, lost).selectedMillis())
                        .isLessThanOrEqualTo(longestBeforeMillis + JOIN_INTERVAL_MILLIS);
            }
        }
    }

    /** Guards against a store that all VMs call in the same moment: the first joins come after the silence, spread. */
    @Test
    void vmsRejoinSpreadOverAJoinIntervalOnceTheLeaderIsSilent() {
        List<Long> rejoins = play(false, leaderAndStandbys()).rejoinMillis();
        long earliestMillis = GroupMembership.MAX_LEADER_SILENCE_MILLIS - REPORT_INTERVAL_MILLIS;
        assertThat(rejoins).isNotEmpty().allMatch(millis -> millis >= earliestMillis);
        assertThat(rejoins.stream().distinct().count()).isGreaterThan(10);
    }

    /** Guards against joins that grow with the VMs. */
    @Test
    void onlyLeaderAndStandbysJoinWhileTheLeaderAnswers() {
        int all = play(true, Set.of(LEADER)).joinsBeforeLoss();
        int some = play(false, Set.of(LEADER)).joinsBeforeLoss();
        // Each VM joins once or twice before it hears of the leader.
        assertThat(all).isGreaterThanOrEqualTo(VM_COUNT * 9);
        assertThat(some).isLessThan(VM_COUNT * 2 + (1 + STANDBY_COUNT) * 10);
    }

    /** Guards against standbys that never join: those that gave up the lead, are out of the group or get no answer. */
    @Test
    void vmThatCannotJoinSaysSo() {
        GroupMembership membership = new GroupMembership(JOIN_INTERVAL_MILLIS, random::nextDouble);
        assertThat(membership.canJoin(0)).isTrue();
        membership.stayOutUntil(5_000);
        assertThat(membership.canJoin(4_999)).isFalse();
        assertThat(membership.canJoin(5_000)).isTrue();
        membership.setEligible(false);
        assertThat(membership.canJoin(5_000)).isFalse();
        membership.setEligible(true);
        for (long now = 6_000; now <= 7_500; now += JOIN_INTERVAL_MILLIS) {
            assertThat(membership.canJoin(now)).isTrue();
            membership.onJoinEnded(false, now);
        }
        assertThat(membership.canJoin(7_500)).isFalse();
        assertThat(membership.canJoin(7_500 + GroupMembership.UNANSWERED_JOIN_VALIDITY_MILLIS))
                .isTrue();
        membership.onJoinEnded(true, 7_600);
        assertThat(membership.canJoin(7_600)).isTrue();
    }

    /** Guards against a leader whose store is lost, and that keeps all VMs that could take over out of the group. */
    @Test
    void leaderWithoutStoreKeepsNoVmOut() {
        GroupMembership membership = new GroupMembership(JOIN_INTERVAL_MILLIS, random::nextDouble);
        membership.onLeaderAnswer(false, true, 0, 0);
        assertThat(membership.isMember(1_000)).isFalse();
        membership.onLeaderAnswer(false, true, GroupMembership.MAX_LEADER_STORE_SILENCE_MILLIS, 1_000);
        membership.onLeaderAnswer(false, false, 0, 1_200);
        assertThat(membership.isMember(1_700)).isTrue();
    }
}
