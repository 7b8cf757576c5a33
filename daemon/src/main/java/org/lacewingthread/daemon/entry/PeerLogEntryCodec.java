package org.lacewingthread.daemon.entry;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.daemon.peer.LogEntryCodec;
import org.lacewingthread.daemon.platform.LogRecordCodec;

/** Hands records on between entry VMs in the form in which the platform's log keeps them. */
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
            throw new IllegalArgumentException("record at offset " + entry.offset() + " is too large to hand on", e);
        }
    }

    @Override
    public LogEntry decode(LogOffset offset, byte[] data) {
        return codec.decode(offset, data);
    }
}
