package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Records of one stream of the log. Not thread-safe. */
final class LogStream {
    private static final int MAX_BATCH_BYTES = 4 << 20;

    private final NavigableMap<Long, StoredRecord> records = new TreeMap<>();
    private long nextOffset;

    private record StoredRecord(Entry entry, long appendedAtMillis) {}

    /** A record as returned to readers; Jackson encodes the bytes in base64. */
    @SuppressWarnings("ArrayRecordComponent")
    record Entry(long offset, byte[] data) {}

    /** Answer to a read: the oldest and newest offset of the stream and the records read. */
    record Batch(long oldest, long end, List<Entry> records) {}

    /** Appends a record and returns its offset. */
    long append(byte[] data, long nowMillis) {
        long offset = nextOffset++;
        records.put(offset, new StoredRecord(new Entry(offset, data), nowMillis));
        return offset;
    }

    /** Removes the oldest records above a count and those that reached an age; 0 disables a limit. */
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

    /** Returns the offset of the oldest record kept, or the next offset if there is none. */
    long oldestOffset() {
        return nextOffset - records.size();
    }

    /** Returns the offset of the newest record ever appended, -1 if there was none. */
    long newestOffset() {
        return nextOffset - 1;
    }

    /** Returns records from an offset on, at least one if there is any, up to a count and a total size. */
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
