package org.lacewingthread.daemon.entry;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.daemon.peer.LogEntryCodec;
import org.lacewingthread.daemon.platform.LogRecordCodec;

/** Encodes log entries sent between entry VMs in the same format as the platform's log. */
final class PeerLogEntryCodec implements LogEntryCodec {
    private final LogRecordCodec codec;

    PeerLogEntryCodec(LogRecordCodec codec) {
        this.codec = codec;
    }

    @Override
    public byte[] encode(LogEntry entry) {
        try {
            return codec.encode(entry.header(), entry.body());
        } catch (LogRecordCodec.RecordTooLargeException e) {
            throw new IllegalArgumentException(
                    "record at offset " + entry.offset() + " is too large to send to another entry VM", e);
        }
    }

    @Override
    public LogEntry decode(LogOffset offset, byte[] data) {
        return codec.decode(offset, data);
    }
}
