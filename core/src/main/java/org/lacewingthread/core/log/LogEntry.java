package org.lacewingthread.core.log;

import org.lacewingthread.core.id.LogOffset;

/**
 * A record with its offset in the log.
 *
 * @param offset position in the log
 * @param header writer and sequence number; may be null if the record could not be decoded
 * @param body the record; {@link LogRecord.Unreadable} if it could not be decoded
 */
public record LogEntry(LogOffset offset, RecordHeader header, LogRecord body) {}
