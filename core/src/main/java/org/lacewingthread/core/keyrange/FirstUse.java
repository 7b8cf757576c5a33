package org.lacewingthread.core.keyrange;

/**
 * Tells whether an empty log of range tables shows that none was ever recorded. An empty log alone does not: the store may
 * have come back from a copy that was made before the first table. It does while this process has known the store since the
 * deployment's first start, and the store has not come back from a copy since.
 *
 * <pre>{@code
 * FirstUse firstUse = new FirstUse(settings.firstStart(), clock.nowMillis());
 * firstUse.onEraStated(1, clock.nowMillis()); // with each answer of the store, refusals included
 * if (firstUse.isProven()) { ... }
 * }</pre>
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class FirstUse {
    /**
     * Longest time from the start of the process to the store's first answer. Before that answer, other processes of the
     * deployment may have led, and the store may have gone back. It takes them longer than this to record a table and grant
     * keys, and the store to be away and to return.
     */
    private static final long MAX_FIRST_ANSWER_MILLIS = 1_000;

    private static final long NOT_STATED = -1;

    private final boolean firstStart;
    private final long startedMillis;
    private long firstEra = NOT_STATED;
    private long newestEra = NOT_STATED;
    private boolean answeredInTime;

    /**
     * Creates an instance for a process that knows nothing of the store yet.
     *
     * @param firstStart whether the deployment starts for the first time, so that no earlier process can have led
     * @param startedMillis start of the process
     */
    public FirstUse(boolean firstStart, long startedMillis) {
        this.firstStart = firstStart;
        this.startedMillis = startedMillis;
    }

    /**
     * Records the era that an answer of the store stated, be it the answer to a read or a refusal.
     *
     * @return whether it is a new era after another one
     */
    public boolean onEraStated(long era, long nowMillis) {
        if (firstEra == NOT_STATED) {
            firstEra = era;
            newestEra = era;
            answeredInTime = nowMillis - startedMillis <= MAX_FIRST_ANSWER_MILLIS;
            return false;
        }
        boolean isNew = era > newestEra;
        newestEra = Math.max(newestEra, era);
        return isNew;
    }

    /** Returns whether an empty log shows that no table was ever recorded. */
    public boolean isProven() {
        return firstStart && answeredInTime && newestEra == firstEra;
    }
}
