package org.lacewingthread.core.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Fair queue: serves its keys round robin, and the requests of one key by deadline. A key that is
 * added again is served after every key that was already waiting, however many requests it has sent.
 *
 * @param <T> type of the queued requests
 */
final class FairQueue<T> {
    private final Map<Long, Flow<T>> flowsByKey = new HashMap<>();
    private final TreeSet<Flow<T>> flowsByRound = new TreeSet<>(Flow.BY_ROUND);
    private long currentRound;
    private long nextSequence;
    private long nonEmptySinceMillis;
    private int size;

    /** A queued request; the sequence number orders requests of equal deadlines. */
    record Item<T>(T value, long keyHash, long deadlineMillis, long sequence) {
        static final Comparator<Item<?>> BY_DEADLINE =
                Comparator.<Item<?>>comparingLong(Item::deadlineMillis).thenComparingLong(Item::sequence);
    }

    /** Queued requests of one key. */
    private static final class Flow<T> {
        static final Comparator<Flow<?>> BY_ROUND = Comparator.<Flow<?>>comparingLong(f -> f.round)
                .thenComparingLong(f -> f.headDeadlineMillis)
                .thenComparingLong(f -> f.keyHash);

        private final long keyHash;
        private final TreeSet<Item<T>> items = new TreeSet<>(Item.BY_DEADLINE);
        private long round;
        private long headDeadlineMillis;

        Flow(long keyHash, long round) {
            this.keyHash = keyHash;
            this.round = round;
        }
    }

    int size() {
        return size;
    }

    int sizeOf(long keyHash) {
        Flow<T> flow = flowsByKey.get(keyHash);
        return flow == null ? 0 : flow.items.size();
    }

    /** Returns for how long the queue has been non-empty without a break, or 0 if it is empty. */
    long nonEmptyMillis(long nowMillis) {
        return size == 0 ? 0 : nowMillis - nonEmptySinceMillis;
    }

    void add(T value, long keyHash, long deadlineMillis, long nowMillis) {
        if (size == 0) {
            nonEmptySinceMillis = nowMillis;
        }
        Flow<T> flow = flowsByKey.get(keyHash);
        if (flow == null) {
            flow = new Flow<>(keyHash, currentRound + 1);
            flowsByKey.put(keyHash, flow);
        } else {
            flowsByRound.remove(flow);
        }
        flow.items.add(new Item<>(value, keyHash, deadlineMillis, nextSequence++));
        size++;
        reinsert(flow);
    }

    /** Removes the next request: the earliest deadline of the key in the earliest round. */
    Optional<T> poll() {
        if (flowsByRound.isEmpty()) {
            return Optional.empty();
        }
        Flow<T> flow = flowsByRound.pollFirst();
        currentRound = flow.round;
        flow.round++;
        T value = flow.items.pollFirst().value();
        size--;
        reinsert(flow);
        return Optional.of(value);
    }

    /** Removes all requests that match a condition and returns them by deadline. */
    List<T> removeIf(Predicate<Item<T>> condition) {
        List<Item<T>> removed = new ArrayList<>();
        for (Flow<T> flow : List.copyOf(flowsByKey.values())) {
            List<Item<T>> matching = flow.items.stream().filter(condition).toList();
            if (!matching.isEmpty()) {
                flowsByRound.remove(flow);
                matching.forEach(flow.items::remove);
                size -= matching.size();
                removed.addAll(matching);
                reinsert(flow);
            }
        }
        removed.sort(Item.BY_DEADLINE);
        return removed.stream().map(Item::value).toList();
    }

    /**
     * Removes the request with the latest deadline of the key that has the most requests queued, if it has
     * at least a given number.
     */
    Optional<T> removeFromLongest(int atLeast) {
        Optional<Flow<T>> longest = flowsByKey.values().stream()
                .max(Comparator.<Flow<T>>comparingInt(f -> f.items.size()).thenComparingLong(f -> f.keyHash));
        if (longest.isEmpty() || longest.get().items.size() < atLeast) {
            return Optional.empty();
        }
        Flow<T> flow = longest.get();
        flowsByRound.remove(flow);
        T value = flow.items.pollLast().value();
        size--;
        reinsert(flow);
        return Optional.of(value);
    }

    /** Returns how many queued requests would be served before a new request of a key. */
    int countAhead(long keyHash, long deadlineMillis) {
        Flow<T> own = flowsByKey.get(keyHash);
        int ownAhead = own == null
                ? 0
                : (int) own.items.stream()
                        .filter(i -> i.deadlineMillis() <= deadlineMillis)
                        .count();
        int ahead = ownAhead;
        for (Flow<T> flow : flowsByKey.values()) {
            if (flow.keyHash != keyHash) {
                ahead += Math.min(flow.items.size(), ownAhead + 1);
            }
        }
        return ahead;
    }

    private void reinsert(Flow<T> flow) {
        if (flow.items.isEmpty()) {
            flowsByKey.remove(flow.keyHash);
            return;
        }
        flow.headDeadlineMillis = flow.items.first().deadlineMillis();
        flowsByRound.add(flow);
    }
}
