package org.lacewingthread.core.id;

import java.util.Comparator;

/**
 * Term of a data centre's leader, ordered lexicographically by its components. While the log is
 * available, the offset is that of the leader's claim; during a log outage, a new leader increases the
 * ordinal instead.
 *
 * @param claimOffset offset of the latest claim in the log that the term is based on
 * @param ordinal 0 for a term claimed in the log, higher for terms begun during a log outage
 * @param leader process of the leader
 */
public record Term(LogOffset claimOffset, long ordinal, VmStart leader) implements Comparable<Term> {
    private static final Comparator<Term> ORDER = Comparator.comparing(Term::claimOffset)
            .thenComparingLong(Term::ordinal)
            .thenComparing(Term::leader);

    /** Checks that offset and leader are present and the ordinal is not negative. */
    public Term {
        if (claimOffset == null || leader == null) {
            throw new IllegalArgumentException("term lacks its claim offset or its leader");
        }
        if (ordinal < 0) {
            throw new IllegalArgumentException("term ordinal " + ordinal + " is negative");
        }
    }

    /** Returns whether this term is higher than another. */
    public boolean isAfter(Term other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Term other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return claimOffset + "." + ordinal + "." + leader;
    }
}
