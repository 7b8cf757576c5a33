package org.lacewingthread.standin;

/**
 * What a {@link BackendServerStandIn} is like when nothing is wrong.
 *
 * @param server its name in answers and in the journal
 * @param slots requests that it runs at once
 * @param queueLimit requests that wait for a slot; more are refused
 * @param serviceMillis time that a request runs
 * @param answerBytes least size of the body of an answer
 * @param maxConnections connections that it accepts
 * @param checksTokens whether it runs only requests that hold a valid lease
 * @param recognisesIdempotencyKeys whether it answers a repeated idempotency key without a second run
 * @param journalLimit runs that the journal keeps
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

    /** Checks ranges. */
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

    /** Returns settings of a server with two slots that answers at once and checks no tokens. */
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

    /** Returns these settings with another number of slots and waiting requests. */
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

    /** Returns these settings with another service time. */
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

    /** Returns these settings with another least size of answers. */
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

    /** Returns these settings with another limit of connections. */
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

    /** Returns these settings with tokens checked or not. */
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

    /** Returns these settings with idempotency keys recognised or not. */
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
