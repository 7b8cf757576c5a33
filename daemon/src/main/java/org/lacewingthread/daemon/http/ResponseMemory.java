package org.lacewingthread.daemon.http;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the memory of all response bodies that are being read on one event loop. When it is used up, the connection with
 * the largest unfinished body fails, since a body without end is the likeliest cause.
 *
 * <pre>{@code
 * ResponseMemory memory = new ResponseMemory(32 << 20);
 * memory.add(connection, bytes);
 * ...
 * memory.remove(connection);
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class ResponseMemory {
    private final long maxBytes;
    private final Map<Reader, Long> bytesByReader = new HashMap<>();
    private long totalBytes;

    /** A connection that reads a body. */
    interface Reader {
        /** Called when the body has to be given up; the reader removes itself. */
        void onMemoryExhausted();
    }

    /**
     * Creates a bound.
     *
     * @param maxBytes bytes that all unfinished bodies together may have
     */
    public ResponseMemory(long maxBytes) {
        if (maxBytes < 1) {
            throw new IllegalArgumentException("memory of " + maxBytes + " bytes for responses is not positive");
        }
        this.maxBytes = maxBytes;
    }

    /** Counts bytes of a body; while there are too many, the readers with the most fail, which may include this one. */
    void add(Reader reader, int bytes) {
        bytesByReader.merge(reader, (long) bytes, Long::sum);
        totalBytes += bytes;
        while (totalBytes > maxBytes) {
            Reader largest = bytesByReader.entrySet().stream()
                    .max(Comparator.comparingLong(Map.Entry::getValue))
                    .orElseThrow()
                    .getKey();
            largest.onMemoryExhausted();
            remove(largest);
        }
    }

    /** Forgets the bytes of a body that is complete or was given up. */
    void remove(Reader reader) {
        Long bytes = bytesByReader.remove(reader);
        totalBytes -= bytes == null ? 0 : bytes;
    }

    /** Returns the bytes of all unfinished bodies. */
    long usedBytes() {
        return totalBytes;
    }
}
