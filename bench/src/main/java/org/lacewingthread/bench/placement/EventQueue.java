package org.lacewingthread.bench.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: runs actions in the order in which they are due. */
final class EventQueue {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));
    private long nowMicros;
    private long order;

    private record Event(long atMicros, long order, Runnable action) {}

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / 1_000;
    }

    void after(long micros, Runnable action) {
        events.add(new Event(nowMicros + micros, order++, action));
    }

    void every(long micros, Runnable action) {
        after(micros, () -> {
            action.run();
            every(micros, action);
        });
    }

    void runFor(long millis) {
        long endMicros = nowMicros + millis * 1_000;
        while (!events.isEmpty() && events.peek().atMicros() <= endMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros();
            event.action().run();
        }
        nowMicros = endMicros;
    }
}
