package org.lacewingthread.daemon.operator.publish;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;

/** Converts log records to bytes and back. */
public interface RecordFormat {
    /** A record can't be written, for example because it is larger than the log takes. */
    final class UnwritableRecordException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates one. */
        public UnwritableRecordException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /**
     * Encodes a record.
     *
     * @throws UnwritableRecordException if the record can't be written
     */
    byte[] encode(RecordHeader header, LogRecord body) throws UnwritableRecordException;

    /** Decodes a record; bytes that can't be decoded give a {@link LogRecord.Unreadable} body. */
    LogEntry decode(LogOffset offset, byte[] data);
}
