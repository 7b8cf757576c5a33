package org.lacewingthread.bench.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated clock with scheduled actions. Actions due at the same time run in the order of their scheduling. */
public final class EventQueue {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long nextSequence;

    private record Event(long atMicros, long sequence, Runnable action) {}

    /** Returns the simulated time in microseconds. */
    public long nowMicros() {
        return nowMicros;
    }

    /** Returns the simulated time in milliseconds, rounded down. */
    public long nowMillis() {
        return nowMicros / 1_000;
    }

    /** Schedules an action to run once after a delay. */
    public void scheduleAfter(long micros, Runnable action) {
        events.add(new Event(nowMicros + micros, nextSequence++, action));
    }

    /** Schedules an action to run repeatedly, for the first time after one interval. */
    public void scheduleEvery(long micros, Runnable action) {
        scheduleAfter(micros, () -> {
            action.run();
            scheduleEvery(micros, action);
        });
    }

    /** Advances the simulated time and runs all actions that become due. */
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
