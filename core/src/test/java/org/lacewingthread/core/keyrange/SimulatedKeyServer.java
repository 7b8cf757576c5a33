package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.List;
import org.lacewingthread.core.id.ServerStart;

/** A server that checks fences and holds, with a clock that runs slow by the allowed margin. */
final class SimulatedKeyServer {
    static final double SLOW_CLOCK_RATIO = 1.02;

    final ServerStart start;
    private final List<Held> held = new ArrayList<>();
    private final List<Seen> seen = new ArrayList<>();
    boolean alive = true;

    private record Held(KeyRange range, long fence, long untilMillis) {}

    private record Seen(KeyRange range, long fence) {}

    SimulatedKeyServer(ServerStart start) {
        this.start = start;
    }

    /** Applies a grant; its time counts from its arrival, even if it is applied later. */
    boolean grant(KeyRange range, long fence, long holdMillis, long arrivedMillis) {
        if (!alive || seen.stream().anyMatch(s -> overlap(s.range(), range) && s.fence() > fence)) {
            return false;
        }
        seen.add(new Seen(range, fence));
        held.add(new Held(range, fence, arrivedMillis + Math.round(holdMillis * SLOW_CLOCK_RATIO)));
        return true;
    }

    void release(KeyRange range) {
        List<Held> kept = new ArrayList<>();
        for (Held hold : held) {
            if (!overlap(hold.range(), range)) {
                kept.add(hold);
                continue;
            }
            if (hold.range().firstKey() < range.firstKey()) {
                kept.add(new Held(hold.range().below(range.firstKey()), hold.fence(), hold.untilMillis()));
            }
            if (hold.range().lastKey() > range.lastKey()) {
                kept.add(new Held(hold.range().from(range.lastKey() + 1), hold.fence(), hold.untilMillis()));
            }
        }
        held.clear();
        held.addAll(kept);
    }

    boolean holds(int key, long nowMillis) {
        return alive && held.stream().anyMatch(h -> h.range().contains(key) && h.untilMillis() > nowMillis);
    }

    private static boolean overlap(KeyRange a, KeyRange b) {
        return a.firstKey() <= b.lastKey() && b.firstKey() <= a.lastKey();
    }
}
