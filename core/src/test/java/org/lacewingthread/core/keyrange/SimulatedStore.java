package org.lacewingthread.core.keyrange;

import java.util.Optional;

/** The log of range tables, which grows by conditional appends. */
final class SimulatedStore {
    private RangeTable newest = RangeTable.EMPTY;
    private long end;

    RangeTable newest() {
        return newest;
    }

    long end() {
        return end;
    }

    /** Appends a table if the log still has the expected end; returns the new end, or empty if it has not. */
    Optional<Long> append(CoordinatorAction.RecordTable record) {
        if (record.expectedEnd() != end) {
            return Optional.empty();
        }
        newest = record.table();
        end++;
        return Optional.of(end);
    }
}
