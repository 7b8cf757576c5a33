package org.lacewingthread.core.keyrange;

import java.util.Map;

/**
 * The store's newest known era, and the contact with the store in it and in the era of the present term. What was
 * recorded in an earlier era may be lost, so that an answer of a new era shows nothing of leaders of the earlier one.
 */
final class StoreEras {
    /** More records than the log of range tables has in an era, and so more terms. */
    private static final long TERMS_PER_ERA = 1_000_000;
    /** Time after a change of the era for which a process that led before may record its table before others lead. */
    private static final long LEADER_PRECEDENCE_MILLIS = 2_000;
    /** Time of answers that there have not been; far from overflow. */
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final FirstUse firstUse;
    private long era;
    private boolean known;
    private long changedSteadyMillis = NEVER_MILLIS;
    private long answeredMillis = NEVER_MILLIS;
    private long answeredInAnyEraMillis = NEVER_MILLIS;
    /** Newest contact in the era of the term, while that is not the newest era. */
    private long answeredInTermEraMillis = NEVER_MILLIS;

    /**
     * Creates a history without a known era.
     *
     * @param firstUse tells whether an empty log shows that no table was ever recorded
     */
    StoreEras(FirstUse firstUse) {
        this.firstUse = firstUse;
    }

    long era() {
        return era;
    }

    /**
     * Records the era that an answer stated.
     *
     * @param termEra era in which the present term was recorded
     * @param steadyMillis present time, by the clock without its advances
     * @return whether it is a new era after another one
     */
    boolean advance(long newEra, long termEra, long steadyMillis) {
        if (known && newEra <= era) {
            return false;
        }
        boolean changed = known;
        known = true;
        if (changed && termEra == era) {
            answeredInTermEraMillis = answeredMillis;
        }
        answeredMillis = changed ? NEVER_MILLIS : answeredMillis;
        changedSteadyMillis = steadyMillis;
        era = newEra;
        return changed;
    }

    /** Records an answer of an era to a request that was sent at a time. */
    void recordAnswer(long answerEra, long askedMillis) {
        if (answerEra == era) {
            answeredMillis = Math.max(answeredMillis, askedMillis);
            answeredInAnyEraMillis = Math.max(answeredInAnyEraMillis, askedMillis);
        }
    }

    long silenceMillis(long nowMillis) {
        return nowMillis - answeredInAnyEraMillis;
    }

    /** Returns the time since the newest contact that shows whether another term followed the one of an era. */
    long silenceMillis(long termEra, long nowMillis) {
        return nowMillis - (termEra == era ? answeredMillis : answeredInTermEraMillis);
    }

    /** Returns the time since the newest era became known, by the clock without its advances. */
    long ageMillis(long steadyMillis) {
        return steadyMillis - changedSteadyMillis;
    }

    /**
     * Returns whether this process does not claim leadership yet, since a process that led when tables were lost may go
     * on with its own one.
     */
    boolean leaderHasPrecedence(RangeTable table, long logEnd, long steadyMillis) {
        return mayHaveLostTablesAfter(table, logEnd) && ageMillis(steadyMillis) < LEADER_PRECEDENCE_MILLIS;
    }

    /**
     * Returns the table with which a process claims leadership. If tables were lost, it has no owners, since the keys may
     * be held by any server.
     *
     * @param newestTerm newest term that this process knows of, whether or not it has read its table
     */
    RangeTable claim(RangeTable table, long newestTerm, long logEnd, Leader leader) {
        boolean lost = mayHaveLostTablesAfter(table, logEnd);
        RangeTable base = lost ? table.withAllRanges(Map.of()) : table;
        return base.withLeader(nextTerm(Math.max(table.term(), newestTerm), logEnd), leader)
                .inEra(era, lost || table.lossPending());
    }

    private boolean mayHaveLostTablesAfter(RangeTable table, long logEnd) {
        return table.era() != era && !isFirstUse(table, logEnd);
    }

    private boolean isFirstUse(RangeTable table, long logEnd) {
        return firstUse.isProven() && logEnd == 0 && table.term() == 0;
    }

    /**
     * Returns the term of a table that is to be recorded at an end of the log. No other term has this number, whatever
     * was lost: within an era it follows from the end, and it is above all terms of earlier eras.
     */
    private long nextTerm(long newestTerm, long logEnd) {
        return era == 0 ? newestTerm + 1 : Math.max(newestTerm + 1, era * TERMS_PER_ERA + logEnd + 1);
    }
}
