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
 * A leader's newest route plan and some earlier ones, so that a member that is a few versions behind
 * gets the difference rather than the whole plan.
 */
final class PlanHistory {
    /** A lost server changes the plan some ten times within a heartbeat or two. */
    private static final int MAX_EARLIER_PLANS = 32;

    private final Deque<RoutePlan> earlierPlans = new ArrayDeque<>();
    private final Map<Long, PlanUpdate> updates = new HashMap<>();
    private final Set<ServerId> dispatchedServers = new TreeSet<>();
    private RoutePlan newest;

    /** Takes in a changed plan. */
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

    /** Returns the newest plan, or null before the first. */
    RoutePlan newest() {
        return newest;
    }

    /** Returns every server that had a dispatcher in some plan. */
    Set<ServerId> dispatchedServers() {
        return Collections.unmodifiableSet(dispatchedServers);
    }

    /** Returns what brings a member up to date, empty if it is. */
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
