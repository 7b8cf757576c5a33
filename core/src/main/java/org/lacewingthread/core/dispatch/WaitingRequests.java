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
    /** Maximum number of waiting requests of one service. */
    private static final int MAX_WAITING_REQUESTS = 400;

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

    /** Removes the least urgent request of a service if there are too many, and returns it. */
    Optional<DispatchRequest> removeExcess(ServiceId service) {
        NavigableSet<DispatchRequest> queue = of(service);
        return queue.size() > MAX_WAITING_REQUESTS ? Optional.ofNullable(queue.pollLast()) : Optional.empty();
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
