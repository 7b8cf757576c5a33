package org.lacewingthread.standin;

/**
 * Faults of a {@link LogServiceStandIn}. A field left out of the JSON form is 0 or false, which is no fault.
 *
 * @param unavailable every read and append is answered 503 and has no effect
 * @param unanswered reads and appends have no effect and are never answered
 * @param latencyMillis time from the effect of a request to its answer
 * @param loseAnswersAfterAppend number of next appends that take effect, but whose connection is closed
 *     without an answer
 * @param loseAnswersBeforeAppend number of next appends that have no effect and whose connection is closed
 *     without an answer
 * @param appendsPerSecond limit of appends per second, 0 for none; further ones are answered 429
 * @param retainRecords number of newest records kept in each stream, 0 for all
 * @param retainMillis time for which records are kept, 0 for no limit
 * @param appendDelayMillis time from the receipt of an append to its effect; the client may time out meanwhile
 */
public record LogFaults(
        boolean unavailable,
        boolean unanswered,
        long latencyMillis,
        int loseAnswersAfterAppend,
        int loseAnswersBeforeAppend,
        int appendsPerSecond,
        int retainRecords,
        long retainMillis,
        long appendDelayMillis) {
    /** No faults. */
    public static final LogFaults NONE = new LogFaults(false, false, 0, 0, 0, 0, 0, 0, 0);

    /** Checks that no number is negative. */
    public LogFaults {
        Checks.requireNonNegative("latencyMillis", latencyMillis);
        Checks.requireNonNegative("loseAnswersAfterAppend", loseAnswersAfterAppend);
        Checks.requireNonNegative("loseAnswersBeforeAppend", loseAnswersBeforeAppend);
        Checks.requireNonNegative("appendsPerSecond", appendsPerSecond);
        Checks.requireNonNegative("retainRecords", retainRecords);
        Checks.requireNonNegative("retainMillis", retainMillis);
        Checks.requireNonNegative("appendDelayMillis", appendDelayMillis);
    }

    /** Returns a copy with another value of {@code unavailable}. */
    public LogFaults withUnavailable(boolean value) {
        return new LogFaults(
                value,
                unanswered,
                latencyMillis,
                loseAnswersAfterAppend,
                loseAnswersBeforeAppend,
                appendsPerSecond,
                retainRecords,
                retainMillis,
                appendDelayMillis);
    }

    /** Returns a copy with another value of {@code unanswered}. */
    public LogFaults withUnanswered(boolean value) {
        return new LogFaults(
                unavailable,
                value,
                latencyMillis,
                loseAnswersAfterAppend,
                loseAnswersBeforeAppend,
                appendsPerSecond,
                retainRecords,
                retainMillis,
                appendDelayMillis);
    }

    /** Returns a copy with another latency. */
    public LogFaults withLatencyMillis(long value) {
        return new LogFaults(
                unavailable,
                unanswered,
                value,
                loseAnswersAfterAppend,
                loseAnswersBeforeAppend,
                appendsPerSecond,
                retainRecords,
                retainMillis,
                appendDelayMillis);
    }

    /** Returns a copy with other numbers of appends whose answer is lost. */
    public LogFaults withLostAnswers(int afterAppend, int beforeAppend) {
        return new LogFaults(
                unavailable,
                unanswered,
                latencyMillis,
                afterAppend,
                beforeAppend,
                appendsPerSecond,
                retainRecords,
                retainMillis,
                appendDelayMillis);
    }

    /** Returns a copy with another limit of appends per second, 0 for none. */
    public LogFaults withAppendsPerSecond(int value) {
        return new LogFaults(
                unavailable,
                unanswered,
                latencyMillis,
                loseAnswersAfterAppend,
                loseAnswersBeforeAppend,
                value,
                retainRecords,
                retainMillis,
                appendDelayMillis);
    }

    /** Returns a copy with another retention by count and by age, 0 for no limit. */
    public LogFaults withRetention(int records, long millis) {
        return new LogFaults(
                unavailable,
                unanswered,
                latencyMillis,
                loseAnswersAfterAppend,
                loseAnswersBeforeAppend,
                appendsPerSecond,
                records,
                millis,
                appendDelayMillis);
    }

    /** Returns a copy with another delay before appends take effect. */
    public LogFaults withAppendDelayMillis(long value) {
        return new LogFaults(
                unavailable,
                unanswered,
                latencyMillis,
                loseAnswersAfterAppend,
                loseAnswersBeforeAppend,
                appendsPerSecond,
                retainRecords,
                retainMillis,
                value);
    }
}
