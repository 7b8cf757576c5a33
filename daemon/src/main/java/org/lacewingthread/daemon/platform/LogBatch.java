package org.lacewingthread.daemon.platform;

import java.util.List;
import org.lacewingthread.core.id.LogOffset;

/**
 * Records read from the log.
 *
 * @param records the records at rising offsets
 * @param oldestOffset oldest offset that the log still keeps
 * @param endOffset newest offset in the log, {@link LogOffset#NONE} if it is empty
 */
public record LogBatch(List<RawRecord> records, LogOffset oldestOffset, LogOffset endOffset) {
    /**
     * One encoded record.
     *
     * @param offset its offset
     * @param data its bytes; not to be changed
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record RawRecord(LogOffset offset, byte[] data) {}

    /** Copies the list. */
    public LogBatch {
        records = List.copyOf(records);
    }
}
