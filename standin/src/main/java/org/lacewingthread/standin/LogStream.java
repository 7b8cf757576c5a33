package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Records of one stream of the log. Not safe for use by several threads. */
final class LogStream {
    private static final int MAX_BATCH_BYTES = 4 << 20;

    private final NavigableMap<Long, StoredRecord> records = new TreeMap<>();
    private long nextOffset;

    private record StoredRecord(Entry entry, long appendedAtMillis) {}

    /** A record as the service answers it; Jackson writes the bytes in base64. */
    @SuppressWarnings("ArrayRecordComponent")
    record Entry(long offset, byte[] data) {}

    /** Answer to a read. */
    record Batch(long oldest, long end, List<Entry> records) {}

    long append(byte[] data, long nowMillis) {
        long offset = nextOffset++;
        records.put(offset, new StoredRecord(new Entry(offset, data), nowMillis));
        return offset;
    }

    void expire(int retainRecords, long retainMillis, long nowMillis) {
        while (retainRecords > 0 && records.size() > retainRecords) {
            records.pollFirstEntry();
        }
        while (retainMillis > 0
                && !records.isEmpty()
                && isExpired(records.firstEntry().getValue(), retainMillis, nowMillis)) {
            records.pollFirstEntry();
        }
    }

    private static boolean isExpired(StoredRecord stored, long retainMillis, long nowMillis) {
        return nowMillis - stored.appendedAtMillis() >= retainMillis;
    }

    long oldestOffset() {
        return nextOffset - records.size();
    }

    long newestOffset() {
        return nextOffset - 1;
    }

    Batch read(long from, int maxRecords) {
        List<Entry> batch = new ArrayList<>();
        long batchBytes = 0;
        for (StoredRecord stored : records.tailMap(from, true).values()) {
            batchBytes += stored.entry().data().length;
            if (batch.size() >= maxRecords || (!batch.isEmpty() && batchBytes > MAX_BATCH_BYTES)) {
                break;
            }
            batch.add(stored.entry());
        }
        return new Batch(oldestOffset(), newestOffset(), batch);
    }
}
