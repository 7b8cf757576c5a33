package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The log of range tables, which grows by conditional appends and may lose its newest records. */
final class SimulatedStore {
    private final List<RangeTable> tables = new ArrayList<>();
    private long era;
    /** Whether the answers state the era; without it, a loss shows only by the records. */
    boolean statesEra = true;

    RangeTable newest() {
        return tables.isEmpty() ? RangeTable.EMPTY : tables.get(tables.size() - 1);
    }

    long end() {
        return tables.size();
    }

    LogPosition position() {
        return new LogPosition(statesEra ? era : 0, tables.size());
    }

    /** Loses the newest records; their ends are given out again, in the next era. */
    void loseNewest(int count) {
        tables.subList(Math.max(0, tables.size() - count), tables.size()).clear();
        era++;
    }

    /** Appends a table if the log still has the expected end; returns the new end, or empty if it has not. */
    Optional<Long> append(CoordinatorAction.RecordTable record) {
        if (record.expectedEnd() != tables.size()) {
            return Optional.empty();
        }
        tables.add(record.table());
        return Optional.of(end());
    }
}
