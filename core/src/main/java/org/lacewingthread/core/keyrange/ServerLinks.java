package org.lacewingthread.core.keyrange;

/** What is known of this entry VM's own links to the servers. */
final class ServerLinks {
    /** How long an answer of a server shows that this VM reaches servers. */
    private static final long ANSWER_VALIDITY_MILLIS = 2_000;

    /**
     * How long an answer shows that the links work, for calls to other servers. Longer than the interval between renewals,
     * which may be a VM's only calls.
     */
    private static final long PROOF_VALIDITY_MILLIS = 1_200;

    private long lastAnswerMillis = Long.MIN_VALUE / 2;
    private boolean impaired;

    void recordAnswer(long answeredMillis) {
        lastAnswerMillis = Math.max(lastAnswerMillis, answeredMillis);
    }

    void setImpaired(boolean isImpaired) {
        impaired = isImpaired;
    }

    boolean isImpaired() {
        return impaired;
    }

    boolean hasRecentAnswer(long nowMillis) {
        return nowMillis - lastAnswerMillis <= ANSWER_VALIDITY_MILLIS;
    }

    /** Returns whether a call without answer tells of its server, since this VM's links worked when it was sent. */
    boolean workedAt(long callSentMillis) {
        return !impaired && callSentMillis - lastAnswerMillis <= PROOF_VALIDITY_MILLIS;
    }
}
