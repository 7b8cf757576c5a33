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

    private static final long AT_ONCE_MILLIS = Long.MIN_VALUE / 2;

    private final long joinIntervalMillis;
    private final DoubleSupplier random;
    private boolean leading;
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

    /**
     * Records an answer of the leader.
     *
     * @param standby whether this VM is a standby; also true if the leader does not state it
     * @param leaderMayStay whether nothing that the leader stated lets another VM take over
     * @param storeSilenceMillis time since the store last answered the leader
     */
    public void onLeaderAnswer(boolean standby, boolean leaderMayStay, long storeSilenceMillis, long nowMillis) {
        if (standby) {
            memberFromMillis = AT_ONCE_MILLIS;
        } else if (leaderMayStay && storeSilenceMillis < MAX_LEADER_STORE_SILENCE_MILLIS) {
            memberFromMillis =
                    nowMillis + MAX_LEADER_SILENCE_MILLIS + Math.round(joinIntervalMillis * random.getAsDouble());
        }
    }

    /** Returns whether this VM joins the group, or renews its membership, now. */
    public boolean isMember(long nowMillis) {
        return leading || nowMillis >= memberFromMillis;
    }
}
