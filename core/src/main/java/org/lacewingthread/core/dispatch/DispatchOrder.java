package org.lacewingthread.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;

/** Order in which waiting requests are dispatched. */
final class DispatchOrder {
    private DispatchOrder() {}

    /**
     * Returns the waiting requests in the order of dispatch: those that can still meet their target
     * come before those that can't, each by priority and deadline. A throttled owner gets the newest first, since with
     * the oldest first every request would miss its target. One request of a class that gets too little comes first.
     *
     * @param starvedPriority priority of the class that gets too little
     * @param owners returns the owner of a request's key
     */
    static List<DispatchRequest> of(
            Collection<DispatchRequest> waiting,
            OptionalInt starvedPriority,
            Function<DispatchRequest, Optional<ServerLoadState>> owners,
            long nowMillis) {
        List<DispatchRequest> onTime = new ArrayList<>();
        List<DispatchRequest> late = new ArrayList<>();
        waiting.forEach(
                request -> (canMeetTarget(request, owners.apply(request), nowMillis) ? onTime : late).add(request));
        Comparator<DispatchRequest> byUrgency = Comparator.comparingInt(DispatchRequest::priority)
                .thenComparingLong(request -> owners.apply(request)
                        .filter(ServerLoadState::isThrottled)
                        .map(throttled -> -request.number())
                        .orElse(request.deadlineMillis()));
        onTime.sort(byUrgency);
        late.sort(byUrgency);
        onTime.addAll(late);
        starvedPriority.ifPresent(priority -> moveFirstToFront(onTime, priority));
        return onTime;
    }

    private static void moveFirstToFront(List<DispatchRequest> requests, int priority) {
        for (int i = 0; i < requests.size(); i++) {
            if (requests.get(i).priority() == priority) {
                requests.add(0, requests.remove(i));
                return;
            }
        }
    }

    private static boolean canMeetTarget(DispatchRequest request, Optional<ServerLoadState> owner, long nowMillis) {
        double workMillis =
                owner.map(state -> state.expectedMillis(0, nowMillis)).orElse(0.0);
        return nowMillis + workMillis <= request.targetAtMillis();
    }
}
