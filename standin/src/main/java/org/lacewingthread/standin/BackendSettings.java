package org.lacewingthread.standin;

/**
 * Settings of a {@link BackendServerStandIn} that apply unless a fault overrides them.
 *
 * @param server name of the server in answers and in the journal
 * @param slots number of requests that run concurrently
 * @param queueLimit number of requests that may wait for a slot; further ones are refused
 * @param serviceMillis service time of a request
 * @param answerBytes minimum size of the body of an answer
 * @param maxConnections limit of open connections; further ones are closed when accepted
 * @param checksTokens whether a request runs only if its shard is leased and its token is not stale
 * @param recognisesIdempotencyKeys whether a repeated idempotency key is answered without a second run
 * @param journalLimit number of newest runs that the journal keeps
 */
public record BackendSettings(
        String server,
        int slots,
        int queueLimit,
        long serviceMillis,
        int answerBytes,
        int maxConnections,
        boolean checksTokens,
        boolean recognisesIdempotencyKeys,
        int journalLimit) {
    private static final int DEFAULT_SLOTS = 2;
    private static final int DEFAULT_QUEUE_LIMIT = 8;
    private static final int DEFAULT_MAX_CONNECTIONS = 130;
    private static final int DEFAULT_JOURNAL_LIMIT = 200_000;

    /** Checks the ranges. */
    public BackendSettings {
        if (server == null || server.isBlank()) {
            throw new IllegalArgumentException("server name is missing");
        }
        Checks.requirePositive("slots", slots);
        Checks.requireNonNegative("queueLimit", queueLimit);
        Checks.requireNonNegative("serviceMillis", serviceMillis);
        Checks.requireNonNegative("answerBytes", answerBytes);
        Checks.requirePositive("maxConnections", maxConnections);
        Checks.requireNonNegative("journalLimit", journalLimit);
    }

    /** Returns settings of a server with two slots that answers immediately and does not check tokens. */
    public static BackendSettings of(String server) {
        return new BackendSettings(
                server,
                DEFAULT_SLOTS,
                DEFAULT_QUEUE_LIMIT,
                0,
                0,
                DEFAULT_MAX_CONNECTIONS,
                false,
                false,
                DEFAULT_JOURNAL_LIMIT);
    }

    /** Returns a copy with another number of slots and another queue limit. */
    public BackendSettings withSlots(int newSlots, int newQueueLimit) {
        return new BackendSettings(
                server,
                newSlots,
                newQueueLimit,
                serviceMillis,
                answerBytes,
                maxConnections,
                checksTokens,
                recognisesIdempotencyKeys,
                journalLimit);
    }

    /** Returns a copy with another service time. */
    public BackendSettings withServiceMillis(long value) {
        return new BackendSettings(
                server,
                slots,
                queueLimit,
                value,
                answerBytes,
                maxConnections,
                checksTokens,
                recognisesIdempotencyKeys,
                journalLimit);
    }

    /** Returns a copy with another minimum size of answer bodies. */
    public BackendSettings withAnswerBytes(int value) {
        return new BackendSettings(
                server,
                slots,
                queueLimit,
                serviceMillis,
                value,
                maxConnections,
                checksTokens,
                recognisesIdempotencyKeys,
                journalLimit);
    }

    /** Returns a copy with another limit of open connections. */
    public BackendSettings withMaxConnections(int value) {
        return new BackendSettings(
                server,
                slots,
                queueLimit,
                serviceMillis,
                answerBytes,
                value,
                checksTokens,
                recognisesIdempotencyKeys,
                journalLimit);
    }

    /** Returns a copy that checks leases and tokens or does not. */
    public BackendSettings withChecksTokens(boolean value) {
        return new BackendSettings(
                server,
                slots,
                queueLimit,
                serviceMillis,
                answerBytes,
                maxConnections,
                value,
                recognisesIdempotencyKeys,
                journalLimit);
    }

    /** Returns a copy that recognises idempotency keys or does not. */
    public BackendSettings withRecognisesIdempotencyKeys(boolean value) {
        return new BackendSettings(
                server,
                slots,
                queueLimit,
                serviceMillis,
                answerBytes,
                maxConnections,
                checksTokens,
                value,
                journalLimit);
    }
}
