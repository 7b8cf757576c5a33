package org.lacewingthread.core.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/**
 * Paces keyed requests to owners that never answer what they can't queue. A request to such an owner beyond its slots and
 * queue is lost until its deadline, while one that waits at this VM is sent once there is room, or refused at once.
 *
 * <p>Applies to services with keys of which an answer was overdue, and none of whose servers says that it is full.
 */
final class SilentOwners {
    private final Set<ServiceId> silentServices = new HashSet<>();
    private final Set<ServiceId> servicesThatReject = new HashSet<>();
    /** Attempts that are most likely lost, since their servers have not answered. */
    private final Set<LostAttempt> lost = new HashSet<>();

    /** An attempt to have a server run a request. */
    private record LostAttempt(long requestNumber, ServerStart server) {
        static LostAttempt of(Decision.Send send) {
            return new LostAttempt(send.request().number(), send.server().start());
        }
    }

    /** Records that a server said that it is full, so that none of its service is silent. */
    void onRejected(ServiceId service) {
        servicesThatReject.add(service);
        silentServices.remove(service);
    }

    /** Returns whether servers of a service say that they are full. */
    boolean rejects(ServiceId service) {
        return servicesThatReject.contains(service);
    }

    /** Records that the answer to an attempt is overdue and still awaited; returns whether its service is paced only since. */
    boolean onAwaited(Decision.Send send, ServerLoadState state) {
        ServiceId service = send.request().service();
        if (send.request().key().isEmpty() || rejects(service)) {
            return false;
        }
        onLost(send, state);
        return silentServices.add(service);
    }

    /** Records that a server most likely dropped a request, so that the attempt takes no slot of it. */
    void onLost(Decision.Send send, ServerLoadState state) {
        if (lost.add(LostAttempt.of(send))) {
            state.onLost();
        }
    }

    /** Records the end of an attempt; returns whether it counted as lost. */
    boolean onEnded(Decision.Send send) {
        return lost.remove(LostAttempt.of(send));
    }

    /** Returns whether a request may be sent to a server now. */
    boolean hasRoom(DispatchRequest request, ServerLoadState state, long nowMillis) {
        if (!isPaced(request, state)) {
            return state.hasCapacity(nowMillis);
        }
        return state.mayConnect(nowMillis)
                && state.inFlight() < state.entry().slots()
                && state.paceWaitMillis(nowMillis) <= 0;
    }

    /** Returns the time until a request is sent, as far as is known, if others are sent before it. */
    double waitMillis(DispatchRequest request, ServerLoadState state, int ahead, long nowMillis) {
        return isPaced(request, state)
                ? state.paceWaitMillis(nowMillis) + ahead * state.pace().intervalMillis()
                : ahead * state.sendIntervalMillis();
    }

    private boolean isPaced(DispatchRequest request, ServerLoadState state) {
        return request.key().isPresent()
                && silentServices.contains(request.service())
                && state.pace().intervalMillis() > 0;
    }
}
