package org.lacewingthread.core.keyrange;

import java.util.Optional;

/**
 * What happens to one append in a simulation.
 *
 * @param carriedOutAfterMillis time from its sending until the store carries it out if its condition then holds; empty
 *     if it never does
 * @param reply what the VM learns
 * @param repliedAfterMillis time from its sending until the VM learns it
 */
record AppendFate(Optional<Long> carriedOutAfterMillis, Reply reply, long repliedAfterMillis) {
    /** Time after which a VM gives up an append. */
    static final long TIMEOUT_MILLIS = 1_200;

    /** What a VM learns about its append. */
    enum Reply {
        /** Whether the condition held. */
        RESULT,
        /** That the store turned the request away before it looked at the condition. */
        REJECTION,
        /** Nothing until the timeout or a connection error. */
        NONE
    }

    static AppendFate answered(long carriedOutAfterMillis, long repliedAfterMillis) {
        return new AppendFate(Optional.of(carriedOutAfterMillis), Reply.RESULT, repliedAfterMillis);
    }

    static AppendFate rejected() {
        return new AppendFate(Optional.empty(), Reply.REJECTION, 10);
    }

    static AppendFate lost() {
        return new AppendFate(Optional.empty(), Reply.NONE, TIMEOUT_MILLIS);
    }

    static AppendFate carriedOutWithoutAnswer(long carriedOutAfterMillis) {
        return new AppendFate(Optional.of(carriedOutAfterMillis), Reply.NONE, TIMEOUT_MILLIS);
    }
}
