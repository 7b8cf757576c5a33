package org.lacewingthread.core.lease;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.control.PeerMessage.Heartbeat;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.Term;

/**
 * This VM's dispatch lease and the route plan that the lease permits it to follow.
 *
 * <p>After a change of leader the VM continues to follow the old plan until the lease expires or the new leader's
 * plan arrives.
 */
final class DispatchLease {
    /** Version that is reported while no plan of the leader's term has been applied. */
    static final long NO_VERSION = -1;

    private static final long NO_LEASE = Long.MIN_VALUE;

    private final LeaseDeadlines leaseDeadlines;
    private final TreeMap<Long, RoutePlan> planByView = new TreeMap<>();
    private Optional<RoutePlan> plan = Optional.empty();
    private RoutePlan releasedPlan;
    private long deadlineMillis = NO_LEASE;

    DispatchLease(LeaseDeadlines leaseDeadlines) {
        this.leaseDeadlines = leaseDeadlines;
    }

    Optional<RoutePlan> plan() {
        return plan;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    /** Applies the plan update and extends the dispatch lease. The sender must hold this VM's leader lease. */
    void applyHeartbeat(Heartbeat heartbeat) {
        heartbeat.plan().flatMap(u -> PlanUpdates.apply(plan, u)).ifPresent(p -> plan = Optional.of(p));
        boolean hasPlanOfTerm = appliedVersion(heartbeat.term()) != NO_VERSION;
        if (hasPlanOfTerm && heartbeat.echoedPlanVersion() != NO_VERSION) {
            deadlineMillis =
                    Math.max(deadlineMillis, leaseDeadlines.holderDispatchDeadline(heartbeat.echoedAtMillis()));
        }
    }

    /** Returns the applied plan version of the given term, or {@link #NO_VERSION}. */
    long appliedVersion(Term term) {
        return plan.filter(p -> p.term().equals(term)).map(RoutePlan::version).orElse(NO_VERSION);
    }

    /** Returns the plan version of the given term whose removals have all taken effect, or {@link #NO_VERSION}. */
    long releasedVersion(Term term) {
        return releasedPlan != null && releasedPlan.term().equals(term) ? releasedPlan.version() : NO_VERSION;
    }

    /**
     * Returns the newest known plan of a term other than the given one, to be reported to a new leader. The plan has
     * no dispatchers once the dispatch lease has expired: this VM then dispatches nothing, but still knows the owners.
     */
    Optional<RoutePlan> planOfOtherTerm(Term term, long nowMillis) {
        return plan.filter(p -> !p.term().equals(term))
                .map(p -> nowMillis < deadlineMillis ? p : new RoutePlan(p.term(), p.version(), Map.of(), p.owners()));
    }

    /** Records that a view with the current plan was published. */
    void recordPublishedView(long view) {
        plan.ifPresent(p -> planByView.put(view, p));
    }

    /**
     * Records that no request is in flight any more for anything that the plan of the given view removed.
     *
     * @return whether a newer plan than before is released by this
     */
    boolean recordDrainedView(long view) {
        Map.Entry<Long, RoutePlan> drained = planByView.floorEntry(view);
        if (drained == null) {
            return false;
        }
        planByView.headMap(drained.getKey(), false).clear();
        boolean isNewer = releasedPlan == null || drained.getValue().supersedes(releasedPlan);
        releasedPlan = drained.getValue();
        return isNewer;
    }
}
