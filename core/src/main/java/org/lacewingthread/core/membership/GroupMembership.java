package org.lacewingthread.core.membership;

import java.util.function.DoubleSupplier;

/**
 * Decides whether a VM is a member of the group in which the store selects the leader. The leader and its standbys are; any
 * other VM is one unless a leader answered of late that it is none. When the leader falls silent, all VMs join, spread over a
 * random part of an interval between joins.
 *
 * <pre>{@code
 * membership.onLeaderAnswer(status.standby(), true, status.storeSilenceMillis(), nowMillis);
 * if (membership.isMember(nowMillis)) { join(); }
 * }</pre>
 *
 * <p>Times are in milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class GroupMembership {
    /** Silence of the leader from which all VMs join: two reports may be lost. */
    public static final long MAX_LEADER_SILENCE_MILLIS = 1_200;

    /**
     * Silence of the store to the leader from which its answers keep no VM out of the group. A join interval less than the
     * silence from which another VM may take over.
     */
    static final long MAX_LEADER_STORE_SILENCE_MILLIS = 2_000;

    /** Time without an answered join, beside unanswered ones, from which the VM does not stand by; a membership's length. */
    static final long MAX_JOIN_SILENCE_MILLIS = 1_500;

    /** Time after an unanswered join for which it shows that the store does not answer; then the VM may stand by again. */
    static final long UNANSWERED_JOIN_VALIDITY_MILLIS = 5_000;

    private static final long AT_ONCE_MILLIS = Long.MIN_VALUE / 2;

    private final long joinIntervalMillis;
    private final DoubleSupplier random;
    private boolean leading;
    private boolean eligible = true;
    private long outUntilMillis = AT_ONCE_MILLIS;
    private long firstUnansweredJoinMillis = AT_ONCE_MILLIS;
    private long lastUnansweredJoinMillis = AT_ONCE_MILLIS;
    private long memberFromMillis = AT_ONCE_MILLIS;

    /**
     * Creates the state of a VM that knows no leader.
     *
     * @param joinIntervalMillis time between two joins of a member
     * @param random returns numbers from 0 to 1, the latter excluded
     */
    public GroupMembership(long joinIntervalMillis, DoubleSupplier random) {
        this.joinIntervalMillis = joinIntervalMillis;
        this.random = random;
    }

    /** Sets whether this VM leads; a leader is always a member. */
    public void setLeading(boolean newLeading) {
        leading = newLeading;
        memberFromMillis = AT_ONCE_MILLIS;
    }

    /** Sets whether this VM may be selected at all. */
    public void setEligible(boolean newEligible) {
        eligible = newEligible;
    }

    /** Keeps this VM out of the group until a time, since it left the lead to others; a time in the past ends that. */
    public void stayOutUntil(long untilMillis) {
        outUntilMillis = untilMillis;
    }

    /** Records how a join ended. */
    public void onJoinEnded(boolean answered, long nowMillis) {
        if (answered) {
            lastUnansweredJoinMillis = AT_ONCE_MILLIS;
            return;
        }
        boolean isFirst = nowMillis - lastUnansweredJoinMillis >= UNANSWERED_JOIN_VALIDITY_MILLIS;
        firstUnansweredJoinMillis = isFirst ? nowMillis : firstUnansweredJoinMillis;
        lastUnansweredJoinMillis = nowMillis;
    }

    /** Returns whether this VM may join the group now if it is a member. */
    public boolean mayJoin(long nowMillis) {
        return eligible && nowMillis >= outUntilMillis;
    }

    /** Returns whether a join of this VM would be answered, as far as is known, so that it can stand by. */
    public boolean canJoin(long nowMillis) {
        boolean unanswered = nowMillis - lastUnansweredJoinMillis < UNANSWERED_JOIN_VALIDITY_MILLIS
                && lastUnansweredJoinMillis - firstUnansweredJoinMillis >= MAX_JOIN_SILENCE_MILLIS;
        return mayJoin(nowMillis) && !unanswered;
    }

    /**
     * Records an answer of the leader. While it leaves the lead to others, its standbys alone take over.
     *
     * @param standby whether this VM is a standby; also true if the leader does not state it
     * @param leaderReachesServers whether the leader states that it reaches servers; otherwise any VM may have to take over
     * @param storeSilenceMillis time since the store last answered the leader
     */
    public void onLeaderAnswer(boolean standby, boolean leaderReachesServers, long storeSilenceMillis, long nowMillis) {
        if (standby) {
            memberFromMillis = AT_ONCE_MILLIS;
        } else if (leaderReachesServers && storeSilenceMillis < MAX_LEADER_STORE_SILENCE_MILLIS) {
            memberFromMillis =
                    nowMillis + MAX_LEADER_SILENCE_MILLIS + Math.round(joinIntervalMillis * random.getAsDouble());
        }
    }

    /** Returns whether this VM joins the group, or renews its membership, now. */
    public boolean isMember(long nowMillis) {
        return leading || nowMillis >= memberFromMillis;
    }
}
