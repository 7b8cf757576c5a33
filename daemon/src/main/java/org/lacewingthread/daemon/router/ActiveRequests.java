package org.lacewingthread.daemon.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.daemon.intake.CallerResponder;

/** The requests that have no response yet. Used by the traffic thread only. */
final class ActiveRequests {
    private static final long NO_REQUEST_NUMBER = -1;

    private final Map<Long, ActiveRequest> requestByNumber = new HashMap<>();
    private final Map<CallerResponder, Long> numberByResponder = new HashMap<>();
    private long lastNumber;

    /** Returns the number of the request that is added next. */
    long nextNumber() {
        return lastNumber + 1;
    }

    void add(ActiveRequest request) {
        lastNumber = request.number;
        requestByNumber.put(request.number, request);
        numberByResponder.put(request.callerRequest.responder(), request.number);
    }

    void remove(ActiveRequest request) {
        requestByNumber.remove(request.number);
        numberByResponder.remove(request.callerRequest.responder());
    }

    Optional<ActiveRequest> find(long number) {
        return Optional.ofNullable(requestByNumber.get(number));
    }

    Optional<ActiveRequest> find(CallerResponder responder) {
        return find(numberByResponder.getOrDefault(responder, NO_REQUEST_NUMBER));
    }

    /** Returns a copy of the list of all requests, which may change while it is used. */
    List<ActiveRequest> all() {
        return List.copyOf(requestByNumber.values());
    }

    int size() {
        return requestByNumber.size();
    }
}
