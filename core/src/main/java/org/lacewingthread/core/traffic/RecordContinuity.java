package org.lacewingthread.core.traffic;

/** Whether a dispatcher has every idempotency record of a shard that was created within the window. */
public enum RecordContinuity {
    /** The dispatcher has all records: it created them, or received them from the VMs that did. */
    COMPLETE,
    /** The dispatcher just started for the shard and knows of no earlier dispatcher. */
    NO_KNOWN_PREDECESSOR,
    /** Another VM dispatched for the shard within the window, and not all of its records could be collected. */
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
