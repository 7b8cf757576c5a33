package org.lacewingthread.core.id;

import java.util.Comparator;

/**
 * Fencing token that orders the grants of one shard. A backend server that checks tokens refuses
 * requests with a token below the highest one it has seen for the shard.
 *
 * @param term term of the leader that assigned the shard
 * @param planVersion version of the leader's route plan that contains the assignment
 */
public record FencingToken(Term term, long planVersion) implements Comparable<FencingToken> {
    private static final Comparator<FencingToken> ORDER =
            Comparator.comparing(FencingToken::term).thenComparingLong(FencingToken::planVersion);

    /** Checks that the term is present and the plan version is not negative. */
    public FencingToken {
        if (term == null) {
            throw new IllegalArgumentException("fencing token lacks its term");
        }
        if (planVersion < 0) {
            throw new IllegalArgumentException("plan version " + planVersion + " is negative");
        }
    }

    @Override
    public int compareTo(FencingToken other) {
        return ORDER.compare(this, other);
    }

    /** Returns the form used in HTTP headers: claim offset, ordinal, VM, start number and plan version. */
    @Override
    public String toString() {
        return term.claimOffset() + ":" + term.ordinal() + ":" + term.leader().vm() + ":"
                + term.leader().startNumber() + ":" + planVersion;
    }

    /**
     * Parses the form that {@link #toString} returns.
     *
     * @throws IllegalArgumentException if the text is not a fencing token
     */
    public static FencingToken parse(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length != 5) {
            throw new IllegalArgumentException(
                    "fencing token \"" + text + "\" does not have the form claim:ordinal:vm:start:plan");
        }
        VmStart leader = new VmStart(new VmId(parts[2]), Long.parseLong(parts[3]));
        Term term = new Term(new LogOffset(Long.parseLong(parts[0])), Long.parseLong(parts[1]), leader);
        return new FencingToken(term, Long.parseLong(parts[4]));
    }
}
