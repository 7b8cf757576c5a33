package org.lacewingthread.daemon.operator.publish;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.daemon.platform.LogBatch;
import org.lacewingthread.daemon.platform.LogException;
import org.lacewingthread.daemon.platform.PlatformLog;

/** In-memory log with virtual time. Each append takes the next configured fault, if any; reads can be made to fail. */
final class FakeLog implements PlatformLog, RecordFormat, PublisherClock {
    /** Fault of one append. */
    enum AppendFault {
        NONE,
        /** The record is appended, but the response is lost. */
        LOST_AFTER_EFFECT,
        /** The record is not appended, and the response is lost. */
        LOST_BEFORE_EFFECT,
        /** The response is lost, and the record is appended after the next successfully appended one. */
        DELAYED,
        RATE_EXCEEDED,
        UNAVAILABLE
    }

    static final long RETRY_AFTER_MILLIS = 700;

    final Deque<AppendFault> appendFaults = new ArrayDeque<>();
    final List<LogEntry> entries = new ArrayList<>();
    int appendCount;
    int failingReads;
    int recordsPerRead = Integer.MAX_VALUE;
    long oldest;
    long nowMillis;
    /** Runs before each append takes effect. */
    Consumer<FakeLog> beforeAppend = log -> {};
    /** Runs before each read. */
    Consumer<FakeLog> beforeRead = log -> {};

    private final List<Object[]> written = new ArrayList<>();
    private final Deque<byte[]> delayed = new ArrayDeque<>();

    /** Appends a record of the given writer. */
    void add(String writer, long sequence, LogRecord body) {
        add(encode(new RecordHeader(new WriterId(writer), sequence, "other", 0), body));
    }

    private LogOffset add(byte[] data) {
        LogOffset offset = new LogOffset(entries.size());
        entries.add(decode(offset, data));
        return offset;
    }

    @Override
    public LogOffset append(byte[] record) throws LogException {
        appendCount++;
        beforeAppend.accept(this);
        AppendFault fault = appendFaults.isEmpty() ? AppendFault.NONE : appendFaults.poll();
        switch (fault) {
            case LOST_AFTER_EFFECT -> add(record);
            case DELAYED -> delayed.add(record);
            case RATE_EXCEEDED -> throw new LogException.RateExceeded("429", RETRY_AFTER_MILLIS);
            case UNAVAILABLE -> throw new LogException.Unavailable("503", null);
            default -> {}
        }
        if (fault != AppendFault.NONE) {
            throw new LogException.OutcomeUnknown("response lost", null);
        }
        LogOffset offset = add(record);
        while (!delayed.isEmpty()) {
            add(delayed.poll());
        }
        return offset;
    }

    @Override
    public LogBatch read(LogOffset from, int maxRecords) throws LogException {
        beforeRead.accept(this);
        if (failingReads > 0) {
            failingReads--;
            throw new LogException.Unavailable("can't be read", null);
        }
        if (from.value() < oldest) {
            throw new LogException.Expired("410", new LogOffset(oldest));
        }
        int start = (int) Math.min(from.value(), entries.size());
        int end = Math.min(entries.size(), start + Math.min(maxRecords, recordsPerRead));
        List<LogBatch.RawRecord> records = entries.subList(start, end).stream()
                .map(entry -> new LogBatch.RawRecord(entry.offset(), encode(entry.header(), entry.body())))
                .toList();
        return new LogBatch(records, new LogOffset(oldest), new LogOffset(entries.size() - 1));
    }

    @Override
    public byte[] encode(RecordHeader header, LogRecord body) {
        written.add(new Object[] {header, body});
        return Integer.toString(written.size() - 1).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public LogEntry decode(LogOffset offset, byte[] data) {
        Object[] parts = written.get(Integer.parseInt(new String(data, StandardCharsets.US_ASCII)));
        return new LogEntry(offset, (RecordHeader) parts[0], (LogRecord) parts[1]);
    }

    @Override
    public long monotonicMillis() {
        return nowMillis;
    }

    @Override
    public long epochMillis() {
        return 1_700_000_000_000L + nowMillis;
    }

    @Override
    public void sleep(long millis) {
        nowMillis += millis;
    }
}
