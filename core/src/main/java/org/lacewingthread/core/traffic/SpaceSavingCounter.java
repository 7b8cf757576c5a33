package org.lacewingthread.core.traffic;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the most frequent of many values in a fixed number of places, by the space-saving method: a
 * value without a place takes that of the least frequent one and inherits its count. A count is too
 * high by at most what it inherited.
 *
 * <p>Not safe for use by several threads.
 *
 * @param <T> the values
 */
public final class SpaceSavingCounter<T> {
    private final int capacity;
    private final Map<T, Count> counts = new HashMap<>();

    /**
     * A frequent value.
     *
     * @param value the value
     * @param count how often it was seen, too high by at most the error
     * @param error largest possible error of the count
     */
    public record FrequentItem<T>(T value, long count, long error) {}

    private static final class Count {
        private long count;
        private final long error;

        Count(long error) {
            this.count = error;
            this.error = error;
        }
    }

    /** Creates a counter with a number of places. */
    public SpaceSavingCounter(int places) {
        if (places < 1) {
            throw new IllegalArgumentException("a counter of " + places + " places counts nothing; give at least 1");
        }
        this.capacity = places;
    }

    /** Counts a value once. */
    public void add(T value) {
        Count known = counts.get(value);
        if (known == null) {
            known = new Count(counts.size() < capacity ? 0 : removeLeastFrequent());
            counts.put(value, known);
        }
        known.count++;
    }

    private long removeLeastFrequent() {
        Map.Entry<T, Count> least = counts.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().count))
                .orElseThrow();
        counts.remove(least.getKey());
        return least.getValue().count;
    }

    /** Returns the most frequent values, highest first. */
    public List<FrequentItem<T>> mostFrequent(int max) {
        return counts.entrySet().stream()
                .map(entry -> new FrequentItem<>(entry.getKey(), entry.getValue().count, entry.getValue().error))
                .sorted(Comparator.<FrequentItem<T>>comparingLong(FrequentItem::count)
                        .reversed())
                .limit(max)
                .toList();
    }
}
