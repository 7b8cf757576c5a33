package org.lacewingthread.core.log;

import java.util.Map;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.WriterId;

/**
 * Detects duplicate records by the highest sequence number of each recent writer. Above the maximum number of
 * writers, the one whose newest record is the oldest is dropped. Offsets are unique, so every replica drops the
 * same writer.
 */
final class DuplicateRecordFilter {
    /** Maximum number of writers whose sequence numbers are kept. */
    static final int MAX_WRITERS = 512;

    private DuplicateRecordFilter() {}

    static boolean isDuplicate(ReplicaState state, RecordHeader header) {
        Long last = state.lastSequences().get(header.writer());
        return last != null && header.sequence() <= last;
    }

    static ReplicaState recordSequence(ReplicaState state, RecordHeader header, LogOffset offset) {
        SortedArrayMap<WriterId, Long> sequences =
                SortedArrayMap.copyOf(state.lastSequences()).with(header.writer(), header.sequence());
        SortedArrayMap<WriterId, LogOffset> offsets =
                SortedArrayMap.copyOf(state.lastOffsets()).with(header.writer(), offset);
        if (offsets.size() > MAX_WRITERS) {
            WriterId oldest = oldest(offsets);
            sequences = sequences.without(oldest);
            offsets = offsets.without(oldest);
        }
        return state.withWriters(sequences, offsets);
    }

    private static WriterId oldest(Map<WriterId, LogOffset> offsets) {
        return offsets.entrySet().stream()
                .min(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }
}
