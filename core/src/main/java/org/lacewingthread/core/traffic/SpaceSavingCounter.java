package org.lacewingthread.core.traffic;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the most frequent of many values with a fixed number of counters, by the space-saving
 * algorithm: a value without a counter replaces the least frequent one and inherits its count. A count
 * is too high by at most the inherited count.
 *
 * <p>Not safe for use by several threads.
 *
 * @param <T> type of the values
 */
public final class SpaceSavingCounter<T> {
    private final int capacity;
    private final Map<T, Count> counts = new HashMap<>();

    /**
     * A frequent value.
     *
     * @param value the value
     * @param count number of occurrences, too high by at most the error
     * @param error upper bound of the overestimate
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

    /**
     * Creates a counter for a number of distinct values.
     *
     * @throws IllegalArgumentException if the capacity is below one
     */
    public SpaceSavingCounter(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("counter capacity " + capacity + " is not valid; it must be at least 1");
        }
        this.capacity = capacity;
    }

    /** Counts one occurrence of a value. */
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

    /** Returns the most frequent values, at most {@code max}, in descending order of their counts. */
    public List<FrequentItem<T>> mostFrequent(int max) {
        return counts.entrySet().stream()
                .map(entry -> new FrequentItem<>(entry.getKey(), entry.getValue().count, entry.getValue().error))
                .sorted(Comparator.<FrequentItem<T>>comparingLong(FrequentItem::count)
                        .reversed())
                .limit(max)
                .toList();
    }
}
