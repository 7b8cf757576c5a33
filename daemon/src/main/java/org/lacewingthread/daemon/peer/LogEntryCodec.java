package org.lacewingthread.daemon.peer;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;

/** Encodes log entries in the format of the platform's log and decodes them. */
public interface LogEntryCodec {
    /** Returns the encoded header and body of an entry; the offset is not included. */
    byte[] encode(LogEntry entry);

    /** Returns the decoded entry at an offset; undecodable data yields an entry with an unreadable record. */
    LogEntry decode(LogOffset offset, byte[] data);
}
