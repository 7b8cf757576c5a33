package org.lacewingthread.core.log;

import java.util.HashMap;
import java.util.Map;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.WriterId;

/**
 * Remembers the highest sequence of each of the latest writers. When there are too many, the writer
 * whose newest record is the oldest is forgotten; offsets are unique, so every replica forgets the same.
 */
final class WriterWindow {
    /** Most writers remembered. */
    static final int MAX_WRITERS = 512;

    private WriterWindow() {}

    static boolean isDuplicate(ReplicaState state, RecordHeader header) {
        Long last = state.lastSequences().get(header.writer());
        return last != null && header.sequence() <= last;
    }

    static ReplicaState record(ReplicaState state, RecordHeader header, LogOffset offset) {
        Map<WriterId, Long> sequences = new HashMap<>(state.lastSequences());
        Map<WriterId, LogOffset> offsets = new HashMap<>(state.lastOffsets());
        sequences.put(header.writer(), header.sequence());
        offsets.put(header.writer(), offset);
        if (offsets.size() > MAX_WRITERS) {
            WriterId oldest = oldest(offsets);
            sequences.remove(oldest);
            offsets.remove(oldest);
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
