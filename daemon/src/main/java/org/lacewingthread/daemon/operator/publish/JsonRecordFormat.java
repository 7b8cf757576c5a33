package org.lacewingthread.daemon.operator.publish;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.daemon.platform.LogRecordCodec;

/** {@link RecordFormat} that uses the {@link LogRecordCodec} of the entry VMs. */
public final class JsonRecordFormat implements RecordFormat {
    private final LogRecordCodec codec = new LogRecordCodec();

    @Override
    public byte[] encode(RecordHeader header, LogRecord body) throws UnwritableRecordException {
        try {
            return codec.encode(header, body);
        } catch (LogRecordCodec.RecordTooLargeException e) {
            throw new UnwritableRecordException(e.getMessage(), e);
        }
    }

    @Override
    public LogEntry decode(LogOffset offset, byte[] data) {
        return codec.decode(offset, data);
    }
}
