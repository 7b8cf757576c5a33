package org.lacewingthread.bench.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: runs actions in the order in which they are due. */
public final class EventQueue {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long nextSequence;

    private record Event(long atMicros, long sequence, Runnable action) {}

    /** Returns the time in microseconds. */
    public long nowMicros() {
        return nowMicros;
    }

    /** Returns the time in milliseconds. */
    public long nowMillis() {
        return nowMicros / 1_000;
    }

    /** Runs an action once, some time from now. */
    public void scheduleAfter(long micros, Runnable action) {
        events.add(new Event(nowMicros + micros, nextSequence++, action));
    }

    /** Runs an action again and again, first one interval from now. */
    public void scheduleEvery(long micros, Runnable action) {
        scheduleAfter(micros, () -> {
            action.run();
            scheduleEvery(micros, action);
        });
    }

    /** Moves time on and runs what falls due. */
    public void runFor(long millis) {
        long endMicros = nowMicros + millis * 1_000;
        while (!events.isEmpty() && events.peek().atMicros() <= endMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros();
            event.action().run();
        }
        nowMicros = endMicros;
    }
}
