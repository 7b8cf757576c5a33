package org.lacewingthread.core.lease;

import java.util.ArrayList;
import java.util.List;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.RecordHeader;

/** In-memory log of the platform. {@link SimulatedGroup} applies delays and losses. */
final class SimulatedLog {
    static final int LATE_MILLIS = 6_000;
    private static final int BATCH_RECORDS = 50;

    private final List<LogEntry> entries = new ArrayList<>();
    private int firstKept;
    boolean unavailable;
    boolean slow;
    double lossRatio;
    /** Ratio of appends that are not answered and take effect after up to {@link #LATE_MILLIS}. */
    double lateRatio;

    void append(RecordHeader header, LogRecord record) {
        entries.add(new LogEntry(new LogOffset(entries.size()), header, record));
    }

    void expireBefore(int offset) {
        firstKept = offset;
    }

    int size() {
        return entries.size();
    }

    List<LogEntry> entries() {
        return entries;
    }

    ControlEvent read(LogOffset from) {
        int first = (int) from.value();
        int last = Math.min(entries.size(), first + BATCH_RECORDS);
        List<LogEntry> batch =
                first < firstKept || first >= last ? List.of() : List.copyOf(entries.subList(first, last));
        return new ControlEvent.LogRead(batch, new LogOffset(firstKept), new LogOffset(entries.size() - 1L));
    }

    /** Returns a replica to which all records were applied. */
    LogReplica fold() {
        LogReplica replica = new LogReplica();
        entries.forEach(replica::apply);
        return replica;
    }
}
