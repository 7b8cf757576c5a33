package org.lacewingthread.core.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import org.lacewingthread.core.id.ServiceId;

/** The requests that wait for a server, by service and in order of urgency. */
final class WaitingRequests {
    /** Maximum number of waiting requests of one service, which bounds the time of a decision about all. */
    private static final int MAX_WAITING_REQUESTS = 400;
    /** Number of requests that may wait whatever they need; the rate of the servers is an estimate. */
    private static final int MIN_WAITING_REQUESTS = 40;
    /**
     * Time for which requests may wait, as a multiple of the time left to the newest. More than that many can't be sent in time,
     * even at a VM with several times the requests of the others.
     */
    private static final double MAX_WORK_RATIO = 4;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final Comparator<DispatchRequest> MOST_URGENT_FIRST = Comparator.comparingInt(
                    DispatchRequest::priority)
            .thenComparingLong(DispatchRequest::deadlineMillis)
            .thenComparingLong(DispatchRequest::number);

    private final Map<ServiceId, TreeSet<DispatchRequest>> queues = new HashMap<>();

    void add(DispatchRequest request) {
        of(request.service()).add(request);
    }

    void remove(DispatchRequest request) {
        of(request.service()).remove(request);
    }

    /**
     * Removes the least urgent request of a service if more wait than can be sent in time, and returns it.
     *
     * @param added the newest request
     * @param sendsPerSecond rate at which requests of the service can be sent; 0 if no server is known
     */
    Optional<DispatchRequest> removeExcess(DispatchRequest added, double sendsPerSecond, long nowMillis) {
        NavigableSet<DispatchRequest> queue = of(added.service());
        return queue.size() > maxSize(added, sendsPerSecond, nowMillis)
                ? Optional.ofNullable(queue.pollLast())
                : Optional.empty();
    }

    /** Returns whether {@link #removeExcess} would remove a request right after it was added. */
    boolean wouldRemove(DispatchRequest request, double sendsPerSecond, long nowMillis) {
        NavigableSet<DispatchRequest> queue = with(request);
        return queue.size() > maxSize(request, sendsPerSecond, nowMillis)
                && queue.last().equals(request);
    }

    /** Returns a copy of the waiting requests of a request's service with the request. */
    NavigableSet<DispatchRequest> with(DispatchRequest request) {
        TreeSet<DispatchRequest> copy = new TreeSet<>(MOST_URGENT_FIRST);
        Optional.ofNullable(queues.get(request.service())).ifPresent(copy::addAll);
        copy.add(request);
        return copy;
    }

    private static double maxSize(DispatchRequest added, double sendsPerSecond, long nowMillis) {
        double leftMillis = Math.max(0, added.deadlineMillis() - nowMillis);
        double sendable = sendsPerSecond * leftMillis / MILLIS_PER_SECOND * MAX_WORK_RATIO;
        return sendsPerSecond > 0
                ? Math.min(MAX_WAITING_REQUESTS, Math.max(MIN_WAITING_REQUESTS, sendable))
                : MAX_WAITING_REQUESTS;
    }

    /** Returns the waiting requests of a service; the set changes with the queue. */
    NavigableSet<DispatchRequest> of(ServiceId service) {
        return queues.computeIfAbsent(service, id -> new TreeSet<>(MOST_URGENT_FIRST));
    }

    /** Returns the services that had waiting requests. */
    List<ServiceId> services() {
        return List.copyOf(queues.keySet());
    }

    int count() {
        return queues.values().stream().mapToInt(TreeSet::size).sum();
    }

    /** Returns the number of waiting requests that only the owner of their key can run. */
    int keyedCount() {
        return (int) queues.values().stream()
                .flatMap(TreeSet::stream)
                .filter(request -> request.key().isPresent())
                .count();
    }
}
