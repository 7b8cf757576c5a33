package org.lacewingthread.core.keyrange;

/** Tracks whether the leader is presumed to be alive, so that no other VM takes over. */
final class LeaderPresence {
    /** Time after an answer of the leader during which no other VM takes over. */
    private static final long LEADER_ANSWER_VALIDITY_MILLIS = 1_500;
    /** Store silence of the leader from which its answers don't prevent takeover by a VM that the store answers. */
    private static final long MAX_LEADER_STORE_SILENCE_MILLIS = 2_500;

    private long presumedAliveUntilMillis = Long.MIN_VALUE / 2;

    void recordAnswer(long storeSilenceMillis, long nowMillis) {
        if (storeSilenceMillis < MAX_LEADER_STORE_SILENCE_MILLIS) {
            presumedAliveUntilMillis = nowMillis + LEADER_ANSWER_VALIDITY_MILLIS;
        }
    }

    boolean isPresumedAlive(long nowMillis) {
        return nowMillis < presumedAliveUntilMillis;
    }
}
