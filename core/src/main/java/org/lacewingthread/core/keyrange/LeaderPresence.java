package org.lacewingthread.core.keyrange;

/** Tracks whether the leader is presumed to be alive and able to renew grants, so that no other VM takes over. */
final class LeaderPresence {
    /** Time after an answer of the leader during which no other VM takes over. */
    private static final long LEADER_ANSWER_VALIDITY_MILLIS = 1_500;
    /** Store silence of the leader from which its answers don't prevent takeover by a VM that the store answers. */
    private static final long MAX_LEADER_STORE_SILENCE_MILLIS = 2_500;

    private long presumedAliveUntilMillis = Long.MIN_VALUE / 2;
    private boolean linksImpaired;

    /**
     * Records an answer of the leader.
     *
     * @param leaderLinksImpaired whether the leader reaches no server, or far fewer than another entry VM
     */
    void recordAnswer(long storeSilenceMillis, boolean leaderLinksImpaired, long nowMillis) {
        linksImpaired = leaderLinksImpaired;
        if (storeSilenceMillis < MAX_LEADER_STORE_SILENCE_MILLIS) {
            presumedAliveUntilMillis = nowMillis + LEADER_ANSWER_VALIDITY_MILLIS;
        }
    }

    /**
     * Returns whether the leader keeps another VM from taking over.
     *
     * @param reachesServers whether the other VM reaches servers, so that it can renew grants that the leader can't
     */
    boolean preventsTakeover(boolean reachesServers, long nowMillis) {
        boolean presumedAlive = nowMillis < presumedAliveUntilMillis;
        return presumedAlive && !(linksImpaired && reachesServers);
    }
}
