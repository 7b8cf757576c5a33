package org.lacewingthread.core.log;

import org.lacewingthread.core.id.LogOffset;

/**
 * A record at its place in the log.
 *
 * @param offset its position
 * @param header its writer
 * @param body the record; {@link LogRecord.Unreadable} if it could not be decoded
 */
public record LogEntry(LogOffset offset, RecordHeader header, LogRecord body) {}
