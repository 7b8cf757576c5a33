package org.lacewingthread.core.lease;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.lacewingthread.core.control.PlanUpdate;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ServerId;

/**
 * Newest route plan of a leader and some earlier ones. A member that is a few versions behind receives the
 * difference instead of the whole plan.
 */
final class PlanHistory {
    /** The loss of a server changes the plan about ten times within one or two heartbeats. */
    private static final int MAX_EARLIER_PLANS = 32;

    private final Deque<RoutePlan> earlierPlans = new ArrayDeque<>();
    private final Map<Long, PlanUpdate> updates = new HashMap<>();
    private final Set<ServerId> dispatchedServers = new TreeSet<>();
    private RoutePlan newest;

    /** Adds a changed plan as the newest one. */
    void add(RoutePlan changed) {
        if (newest != null) {
            earlierPlans.addLast(newest);
        }
        if (earlierPlans.size() > MAX_EARLIER_PLANS) {
            earlierPlans.removeFirst();
        }
        newest = changed;
        dispatchedServers.addAll(changed.dispatchers().keySet());
        updates.clear();
    }

    /** Returns the newest plan, or null if there is none. */
    RoutePlan newest() {
        return newest;
    }

    /** Returns the servers that had a dispatcher in any plan so far. */
    Set<ServerId> dispatchedServers() {
        return Collections.unmodifiableSet(dispatchedServers);
    }

    /** Returns the update from a member's applied version to the newest plan, or empty if the member is up to date. */
    Optional<PlanUpdate> updateFrom(long appliedVersion) {
        if (newest == null || appliedVersion >= newest.version()) {
            return Optional.empty();
        }
        return Optional.of(updates.computeIfAbsent(appliedVersion, this::makeUpdate));
    }

    private PlanUpdate makeUpdate(long appliedVersion) {
        return earlierPlans.stream()
                .filter(plan -> plan.version() == appliedVersion)
                .findFirst()
                .map(plan -> PlanUpdates.between(plan, newest))
                .orElseGet(() -> PlanUpdates.whole(newest));
    }
}
