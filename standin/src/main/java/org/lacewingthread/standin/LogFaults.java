package org.lacewingthread.standin;

/**
 * Faults of a {@link LogServiceStandIn}. A field that is left out of the JSON form has no effect.
 *
 * @param unavailable every call is answered 503 and has no effect
 * @param unanswered every call has no effect and is never answered
 * @param latencyMillis time from a call's effect to its answer
 * @param loseAnswersAfterAppend how many of the next appends take effect and then lose their connection
 * @param loseAnswersBeforeAppend how many of the next appends lose their connection and have no effect
 * @param appendsPerSecond appends accepted in each second, 0 for no limit
 * @param retainRecords how many records of a stream are kept, 0 for all
 * @param retainMillis how long records are kept, 0 for always
 * @param appendDelayMillis time from an append's arrival to its effect, in which the caller may give up
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

    /** Returns these faults with the service unavailable or not. */
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

    /** Returns these faults with the service mute or not. */
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

    /** Returns these faults with another latency. */
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

    /** Returns these faults with other numbers of lost answers. */
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

    /** Returns these faults with another append rate. */
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

    /** Returns these faults with another retention. */
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

    /** Returns these faults with appends taking effect later. */
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
