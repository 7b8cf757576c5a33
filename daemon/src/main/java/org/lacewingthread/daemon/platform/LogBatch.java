package org.lacewingthread.daemon.platform;

import java.util.List;
import org.lacewingthread.core.id.LogOffset;

/**
 * Result of one read from the log.
 *
 * @param records encoded records in increasing order of offset
 * @param oldestOffset oldest offset that can still be read
 * @param endOffset offset of the newest record in the log, {@link LogOffset#NONE} if the log is empty
 */
public record LogBatch(List<RawRecord> records, LogOffset oldestOffset, LogOffset endOffset) {
    /**
     * One encoded record.
     *
     * @param offset position of the record in the log
     * @param data bytes of the record; must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record RawRecord(LogOffset offset, byte[] data) {}

    /** Copies the list of records. */
    public LogBatch {
        records = List.copyOf(records);
    }
}
