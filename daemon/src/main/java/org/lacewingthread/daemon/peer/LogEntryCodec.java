package org.lacewingthread.daemon.peer;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;

/** Turns log entries into the bytes in which the platform's log keeps them, and back. */
public interface LogEntryCodec {
    /** Encodes an entry without its offset. */
    byte[] encode(LogEntry entry);

    /** Decodes the record at an offset; one that can't be read becomes an unreadable record. */
    LogEntry decode(LogOffset offset, byte[] data);
}
