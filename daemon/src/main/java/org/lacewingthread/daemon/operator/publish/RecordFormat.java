package org.lacewingthread.daemon.operator.publish;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;

/** Encodes log records to bytes and decodes them. */
public interface RecordFormat {
    /** Thrown when a record can't be encoded, for example because it exceeds the size limit. */
    final class UnwritableRecordException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates an exception with the reason and its cause. */
        public UnwritableRecordException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /**
     * Encodes a record.
     *
     * @throws UnwritableRecordException if the record can't be encoded
     */
    byte[] encode(RecordHeader header, LogRecord body) throws UnwritableRecordException;

    /** Decodes a record; the body is {@link LogRecord.Unreadable} if the bytes can't be decoded. */
    LogEntry decode(LogOffset offset, byte[] data);
}
