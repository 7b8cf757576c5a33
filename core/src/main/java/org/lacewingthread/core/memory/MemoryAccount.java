package org.lacewingthread.core.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the bytes that a process holds for all its callers and servers, and decides who is paused or given up when they
 * come near a bound.
 *
 * <p>A request whose sender announced its size is admitted as a whole: it may send if everything that was admitted before
 * fits as well, so that admitted requests can always be completed. Others are paused, and admitted when there is room:
 * first those of the owner with the fewest bytes, then in the order of arrival. While requests are paused, an admitted one
 * that is slower than {@link #MIN_BYTES_PER_SECOND} is given up. Above the bound, the largest of the owner with the most
 * bytes is given up, stalled ones first.
 *
 * <pre>{@code
 * MemoryAccount account = new MemoryAccount(80 << 20);
 * MemoryHolding body = account.open("10.1.0.7", MemoryUse.INCOMPLETE_REQUEST, connection, nowMillis);
 * account.expect(body, contentLength, nowMillis);
 * account.add(body, receivedBytes, nowMillis);
 * account.release(body, nowMillis);
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class MemoryAccount {
    /** Half the rate of a slow mobile network. Applies only while other requests wait for memory. */
    static final long MIN_BYTES_PER_SECOND = 8_192;
    /** Time over which the rate is measured; longer than a lost packet takes to be sent again. */
    static final long RATE_WINDOW_MILLIS = 2_000;
    /** A holding without progress for this time is given up before others when the account is used up. */
    static final long STALL_MILLIS = 1_000;
    /** Requests up to this size are never paused, so that ordinary ones pass while large ones wait. */
    static final long SMALL_REQUEST_BYTES = 32_768;

    /** After a longer gap between ticks this process did not run, and what senders sent was not read. */
    static final long MAX_TICK_GAP_MILLIS = 500;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final long maxBytes;
    private final Set<MemoryHolding> holdings = new LinkedHashSet<>();
    private final Set<MemoryHolding> paused = new LinkedHashSet<>();
    private final Map<String, Long> bytesByOwner = new HashMap<>();
    private final Map<EvictionReason, Long> evictionCounts = new ConcurrentHashMap<>();
    private long heldBytes;
    private long committedBytes;
    private long pauseCount;
    private long lastTickMillis;
    private boolean evicting;

    /**
     * Creates an account.
     *
     * @param maxBytes bytes that may be held
     */
    public MemoryAccount(long maxBytes) {
        if (maxBytes < 1) {
            throw new IllegalArgumentException(
                    "an account of " + maxBytes + " bytes is not positive; use a part of the heap");
        }
        this.maxBytes = maxBytes;
    }

    /**
     * Opens a holding without bytes.
     *
     * @param owner address of the caller, or another name that shares are counted for
     * @param use what is held
     * @param holder carries out what is decided about it
     */
    public MemoryHolding open(String owner, MemoryUse use, MemoryHolder holder, long nowMillis) {
        MemoryHolding holding = new MemoryHolding(owner, use, holder, nowMillis);
        holdings.add(holding);
        return holding;
    }

    /** Returns whether a request of this size can be held if nothing else is. */
    public boolean canEverHold(long bytes) {
        return bytes <= maxBytes;
    }

    /** Returns whether this many bytes more fit beside all that was admitted. */
    public boolean hasRoomFor(long bytes) {
        return committedBytes + bytes <= maxBytes;
    }

    /** States how many bytes will follow; pauses the sender if they don't fit. */
    public void expect(MemoryHolding holding, long bytes, long nowMillis) {
        if (holding.released) {
            return;
        }
        commit(holding, () -> holding.expectedBytes = bytes);
        pauseIfOverCommitted(holding, nowMillis);
    }

    /** Counts bytes that were received or built for a holding. */
    public void add(MemoryHolding holding, long bytes, long nowMillis) {
        if (holding.released) {
            return;
        }
        heldBytes += bytes;
        bytesByOwner.merge(holding.owner, bytes, Long::sum);
        commit(holding, () -> {
            holding.heldBytes += bytes;
            holding.expectedBytes = Math.max(0, holding.expectedBytes - bytes);
        });
        onProgress(holding, bytes, nowMillis);
        pauseIfOverCommitted(holding, nowMillis);
        evictAboveBound(nowMillis);
    }

    /** Records that bytes of a holding moved on without a change of what is held, for example to a slow caller. */
    public void onProgress(MemoryHolding holding, long bytes, long nowMillis) {
        rollWindow(holding, nowMillis);
        holding.windowBytes += bytes;
        holding.progressMillis = nowMillis;
    }

    /** Frees a part of what is held, for example the part of a response that its caller took. */
    public void free(MemoryHolding holding, long bytes, long nowMillis) {
        if (holding.released) {
            return;
        }
        long freed = Math.min(bytes, holding.heldBytes);
        heldBytes -= freed;
        subtractFromOwner(holding.owner, freed);
        commit(holding, () -> holding.heldBytes -= freed);
        onProgress(holding, freed, nowMillis);
        resume(nowMillis);
    }

    /** Changes what a holding is for; a complete request expects no more bytes and is not paused. */
    public void change(MemoryHolding holding, MemoryUse use, long nowMillis) {
        if (holding.released) {
            return;
        }
        paused.remove(holding);
        commit(holding, () -> {
            holding.use = use;
            holding.expectedBytes = 0;
            holding.paused = false;
        });
        resume(nowMillis);
    }

    /** Ends a holding; further calls have no effect. */
    public void release(MemoryHolding holding, long nowMillis) {
        if (remove(holding)) {
            resume(nowMillis);
        }
    }

    private boolean remove(MemoryHolding holding) {
        if (holding.released) {
            return false;
        }
        holding.released = true;
        holdings.remove(holding);
        paused.remove(holding);
        heldBytes -= holding.heldBytes;
        committedBytes -= holding.committedBytes();
        subtractFromOwner(holding.owner, holding.heldBytes);
        return true;
    }

    private void subtractFromOwner(String owner, long bytes) {
        bytesByOwner.computeIfPresent(owner, (name, held) -> held <= bytes ? null : held - bytes);
    }

    private void commit(MemoryHolding holding, Runnable change) {
        long before = holding.committedBytes();
        change.run();
        committedBytes += holding.committedBytes() - before;
    }

    private void pauseIfOverCommitted(MemoryHolding holding, long nowMillis) {
        boolean small = holding.heldBytes + holding.expectedBytes <= SMALL_REQUEST_BYTES;
        boolean fits = committedBytes <= maxBytes;
        if (!holding.use.isPausable() || holding.paused || small || holding.expectedBytes == 0 || fits) {
            return;
        }
        commit(holding, () -> holding.paused = true);
        paused.add(holding);
        pauseCount++;
        holding.holder.onPaused();
        // The bytes that were promised to this one may suffice for others.
        resume(nowMillis);
    }

    /** Admits paused requests that fit now; the owner with the fewest bytes comes first. */
    private void resume(long nowMillis) {
        if (paused.isEmpty() || evicting) {
            return;
        }
        List<MemoryHolding> inOrder = new ArrayList<>(paused);
        inOrder.sort(Comparator.comparingLong(holding -> bytesByOwner.getOrDefault(holding.owner, 0L)));
        for (MemoryHolding holding : inOrder) {
            if (holding.released || !holding.paused || committedBytes + holding.expectedBytes > maxBytes) {
                continue;
            }
            paused.remove(holding);
            commit(holding, () -> holding.paused = false);
            holding.progressMillis = nowMillis;
            holding.restartWindow(nowMillis);
            holding.holder.onResumed();
        }
    }

    /** Gives up holdings that are too slow while others wait; to be called a few times a second. */
    public void tick(long nowMillis) {
        if (nowMillis - lastTickMillis > MAX_TICK_GAP_MILLIS) {
            holdings.forEach(holding -> holding.restartWindow(nowMillis));
        }
        lastTickMillis = nowMillis;
        holdings.forEach(holding -> rollWindow(holding, nowMillis));
        if (paused.isEmpty()) {
            return;
        }
        for (MemoryHolding holding : List.copyOf(holdings)) {
            if (!holding.released && holding.use.isPausable() && !holding.paused && holding.slow) {
                evict(holding, EvictionReason.TOO_SLOW);
            }
        }
        resume(nowMillis);
        boolean allWait = holdings.stream().allMatch(holding -> holding.paused);
        if (allWait && !paused.isEmpty()) {
            // None of the waiting requests fits beside what all of them hold.
            victim(nowMillis).ifPresent(holding -> evict(holding, EvictionReason.EXHAUSTED));
            resume(nowMillis);
        }
    }

    private static void rollWindow(MemoryHolding holding, long nowMillis) {
        long measuredMillis = nowMillis - holding.windowStartMillis;
        if (measuredMillis >= RATE_WINDOW_MILLIS) {
            boolean slow = holding.windowBytes * MILLIS_PER_SECOND < MIN_BYTES_PER_SECOND * measuredMillis;
            holding.restartWindow(nowMillis);
            holding.slow = slow;
        }
    }

    private void evictAboveBound(long nowMillis) {
        if (evicting || heldBytes <= maxBytes) {
            return;
        }
        while (heldBytes > maxBytes) {
            Optional<MemoryHolding> victim = victim(nowMillis);
            if (victim.isEmpty()) {
                return;
            }
            evict(victim.get(), EvictionReason.EXHAUSTED);
        }
        resume(nowMillis);
    }

    private Optional<MemoryHolding> victim(long nowMillis) {
        Comparator<MemoryHolding> byOwner =
                Comparator.comparingLong(holding -> bytesByOwner.getOrDefault(holding.owner, 0L));
        return holdings.stream()
                .filter(holding -> holding.use.isEvictable() && holding.heldBytes > 0)
                .max(byOwner.thenComparing(holding -> nowMillis - holding.progressMillis >= STALL_MILLIS)
                        .thenComparingLong(holding -> holding.heldBytes));
    }

    private void evict(MemoryHolding holding, EvictionReason reason) {
        remove(holding);
        evictionCounts.merge(reason, 1L, Long::sum);
        evicting = true;
        try {
            holding.holder.onEvicted(reason);
        } finally {
            evicting = false;
        }
    }

    /** Returns the bytes that are held. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the bound. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns the number of requests whose senders wait for memory. */
    public int pausedCount() {
        return paused.size();
    }

    /** Returns how many requests and responses were given up for a reason. */
    public long evictionCount(EvictionReason reason) {
        return evictionCounts.getOrDefault(reason, 0L);
    }

    /** Returns how often a sender was paused. */
    public long pauseCount() {
        return pauseCount;
    }
}
