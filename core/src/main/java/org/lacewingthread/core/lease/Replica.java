package org.lacewingthread.core.lease;

import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.ReplicaState;

/** Folds log records into state; the same records give the same state on every entry VM. */
public interface Replica {
    /**
     * Folds one record. Offsets must rise.
     *
     * @param entry the record
     * @return whether the record's condition held
     */
    boolean apply(LogEntry entry);

    /** Returns the state after every record folded so far. */
    ReplicaState state();

    /** Replaces the state by a later one taken from a snapshot. */
    void restore(ReplicaState state);
}
