package org.lacewingthread.core.keyrange;

import java.util.Optional;

/**
 * What a VM learns about an append in a simulation.
 *
 * @param kind result as the VM knows it
 * @param end end of the log after the appended table; empty unless it was recorded
 */
record AppendAnswer(Kind kind, Optional<Long> end) {
    static final AppendAnswer REFUSED = new AppendAnswer(Kind.REFUSED, Optional.empty());
    static final AppendAnswer UNKNOWN = new AppendAnswer(Kind.UNKNOWN, Optional.empty());

    /** Results of an append. */
    enum Kind {
        RECORDED,
        REFUSED,
        UNKNOWN
    }

    static AppendAnswer recorded(long end) {
        return new AppendAnswer(Kind.RECORDED, Optional.of(end));
    }
}
