package org.lacewingthread.core.traffic;

/** Whether a dispatcher has every record of a shard that was made within the window. */
public enum RecordContinuity {
    /** It has them all: it made them itself or collected them from those that did. */
    COMPLETE,
    /** It just started dispatching for the shard and knows of no VM that did before. */
    NO_KNOWN_PREDECESSOR,
    /** Another VM dispatched for the shard within the window, and its records could not all be collected. */
    PREDECESSOR_LOST;

    /** Returns whether a request without a record provably has no earlier attempt that may have run. */
    public boolean excludesEarlierRun(AttemptNumber attempt) {
        return switch (attempt) {
            case FIRST -> true;
            case UNSTATED -> this != PREDECESSOR_LOST;
            case REPEAT -> this == COMPLETE;
        };
    }
}
