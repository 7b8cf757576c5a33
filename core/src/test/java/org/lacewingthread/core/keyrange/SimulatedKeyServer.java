package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.List;
import org.lacewingthread.core.id.ServerStart;

/** A server that checks fences and holds, with a clock that runs 2 % slow, within the allowed margin. */
final class SimulatedKeyServer {
    static final double CLOCK_SLOWDOWN_RATIO = 1.02;

    final ServerStart start;
    private final List<HeldRange> heldRanges = new ArrayList<>();
    private final List<SeenFence> seenFences = new ArrayList<>();
    boolean alive = true;

    private record HeldRange(KeyRange range, long fence, long untilMillis) {}

    private record SeenFence(KeyRange range, long fence) {}

    SimulatedKeyServer(ServerStart start) {
        this.start = start;
    }

    /** Applies a grant; its hold starts at its arrival, even if it is applied later. */
    boolean grant(KeyRange range, long fence, long holdMillis, long arrivedMillis) {
        if (!alive
                || seenFences.stream()
                        .anyMatch(seenFence -> overlap(seenFence.range(), range) && seenFence.fence() > fence)) {
            return false;
        }
        seenFences.add(new SeenFence(range, fence));
        heldRanges.add(new HeldRange(range, fence, heldUntilMillis(arrivedMillis, holdMillis)));
        return true;
    }

    static long heldUntilMillis(long arrivedMillis, long holdMillis) {
        return arrivedMillis + Math.round(holdMillis * CLOCK_SLOWDOWN_RATIO);
    }

    /** Returns the highest fence of the grants that were applied to a key; a release is not remembered. */
    long highestFence(int key) {
        return seenFences.stream()
                .filter(seenFence -> seenFence.range().contains(key))
                .mapToLong(SeenFence::fence)
                .max()
                .orElse(0);
    }

    void release(KeyRange range) {
        List<HeldRange> kept = new ArrayList<>();
        for (HeldRange hold : heldRanges) {
            if (!overlap(hold.range(), range)) {
                kept.add(hold);
                continue;
            }
            if (hold.range().firstKey() < range.firstKey()) {
                kept.add(new HeldRange(hold.range().below(range.firstKey()), hold.fence(), hold.untilMillis()));
            }
            if (hold.range().lastKey() > range.lastKey()) {
                kept.add(new HeldRange(hold.range().from(range.lastKey() + 1), hold.fence(), hold.untilMillis()));
            }
        }
        heldRanges.clear();
        heldRanges.addAll(kept);
    }

    boolean holds(int key, long nowMillis) {
        return alive && heldRanges.stream().anyMatch(h -> h.range().contains(key) && h.untilMillis() > nowMillis);
    }

    private static boolean overlap(KeyRange a, KeyRange b) {
        return a.firstKey() <= b.lastKey() && b.firstKey() <= a.lastKey();
    }
}
