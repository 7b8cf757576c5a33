package org.lacewingthread.daemon.http;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.lacewingthread.core.memory.EvictionReason;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.memory.MemoryHolder;
import org.lacewingthread.core.memory.MemoryHolding;
import org.lacewingthread.core.memory.MemoryUse;

/**
 * Bounds the memory of all response bodies that are being read on one event loop. When it is used up, the connection with
 * the largest unfinished body fails, since a body without end is the likeliest cause. The bytes are also counted in the
 * account of the process, which may give up a body earlier. So are the parts of requests that servers have not taken.
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
    private final Map<Reader, MemoryHolding> holdingsByReader = new HashMap<>();
    private final Map<Reader, MemoryHolding> unsentByReader = new HashMap<>();
    private MemoryAccount account = new MemoryAccount(Long.MAX_VALUE);
    private LongSupplier clockMillis = () -> 0;
    private long totalBytes;

    /** A connection that reads a body. */
    interface Reader {
        /** Called when the body has to be given up; the reader removes itself. */
        void onMemoryExhausted();

        /** Called when the request has to be given up, of which the server has not taken a part. */
        default void onUnsentExhausted() {
            onMemoryExhausted();
        }

        /** Returns the server, which has a share of the memory of the process. */
        default String server() {
            return "servers";
        }
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

    /** Counts responses that begin from now on in the account of the process. */
    void countIn(MemoryAccount processAccount, LongSupplier newClockMillis) {
        account = processAccount;
        clockMillis = newClockMillis;
    }

    /** Counts bytes of a body; while there are too many, the readers with the most fail, which may include this one. */
    void add(Reader reader, long bytes) {
        bytesByReader.merge(reader, bytes, Long::sum);
        totalBytes += bytes;
        MemoryHolding holding = holdingsByReader.computeIfAbsent(
                reader, opened -> open(opened, MemoryUse.INCOMPLETE_RESPONSE, opened::onMemoryExhausted));
        account.add(holding, bytes, clockMillis.getAsLong());
        while (totalBytes > maxBytes) {
            Reader largest = bytesByReader.entrySet().stream()
                    .max(Comparator.comparingLong(Map.Entry::getValue))
                    .orElseThrow()
                    .getKey();
            largest.onMemoryExhausted();
            remove(largest);
        }
    }

    /** Counts the part of a request that the server has not taken; it may be given up at once. */
    void addUnsent(Reader reader, long bytes) {
        MemoryHolding holding = open(reader, MemoryUse.UNSENT_REQUEST, () -> {
            unsentByReader.remove(reader);
            reader.onUnsentExhausted();
        });
        unsentByReader.put(reader, holding);
        account.add(holding, bytes, clockMillis.getAsLong());
    }

    /** Records that the server took bytes of a request that is counted; others wait in their place. */
    void onUnsentProgress(Reader reader, int bytes) {
        MemoryHolding holding = unsentByReader.get(reader);
        if (holding != null) {
            account.onProgress(holding, bytes, clockMillis.getAsLong());
        }
    }

    /** Forgets a request that the server has taken or that was given up. */
    void removeUnsent(Reader reader) {
        MemoryHolding holding = unsentByReader.remove(reader);
        if (holding != null) {
            account.release(holding, clockMillis.getAsLong());
        }
    }

    private MemoryHolding open(Reader reader, MemoryUse use, Runnable onEvicted) {
        MemoryHolder holder = new MemoryHolder() {
            @Override
            public void onPaused() {
                throw new IllegalStateException("what a server sends or takes was paused, but only callers can be");
            }

            @Override
            public void onResumed() {
                throw new IllegalStateException("what a server sends or takes was resumed, but only callers can be");
            }

            @Override
            public void onEvicted(EvictionReason reason) {
                onEvicted.run();
            }
        };
        return account.open(reader.server(), use, holder, clockMillis.getAsLong());
    }

    /** Forgets the bytes of a body that is complete or was given up. */
    void remove(Reader reader) {
        Long bytes = bytesByReader.remove(reader);
        totalBytes -= bytes == null ? 0 : bytes;
        MemoryHolding holding = holdingsByReader.remove(reader);
        if (holding != null) {
            account.release(holding, clockMillis.getAsLong());
        }
    }

    /** Returns the bytes of all unfinished bodies. */
    long usedBytes() {
        return totalBytes;
    }
}
