package org.lacewingthread.core.lease;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.control.PeerMessage.Heartbeat;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.Term;

/**
 * This VM's dispatch lease and the route plan that it acts under.
 *
 * <p>When the leader changes, the VM goes on under the old plan until its lease ends or the new leader's
 * plan arrives.
 */
final class DispatchLease {
    /** Version reported before a plan of the asker's term was applied. */
    static final long NO_VERSION = -1;

    private static final long NO_LEASE = Long.MIN_VALUE;

    private final LeaseLengths lengths;
    private final TreeMap<Long, RoutePlan> planByView = new TreeMap<>();
    private Optional<RoutePlan> plan = Optional.empty();
    private RoutePlan releasedPlan;
    private long deadlineMillis = NO_LEASE;

    DispatchLease(LeaseLengths lengths) {
        this.lengths = lengths;
    }

    Optional<RoutePlan> plan() {
        return plan;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    /** Applies the plan that a leader with this VM's leader lease sent, and extends the dispatch lease. */
    void heartbeat(Heartbeat heartbeat) {
        heartbeat.plan().flatMap(u -> PlanUpdates.apply(plan, u)).ifPresent(p -> plan = Optional.of(p));
        boolean underThisTerm = appliedVersion(heartbeat.term()) != NO_VERSION;
        if (underThisTerm && heartbeat.echoedPlanVersion() != NO_VERSION) {
            deadlineMillis = Math.max(deadlineMillis, lengths.dispatchHeldUntil(heartbeat.echoedAtMillis()));
        }
    }

    /** Returns the version of a term's plan that was applied, or {@link #NO_VERSION}. */
    long appliedVersion(Term term) {
        return plan.filter(p -> p.term().equals(term)).map(RoutePlan::version).orElse(NO_VERSION);
    }

    /** Returns the version of a term's plan of which every removal has taken full effect. */
    long releasedVersion(Term term) {
        return releasedPlan != null && releasedPlan.term().equals(term) ? releasedPlan.version() : NO_VERSION;
    }

    /**
     * Returns the newest plan of another term that this VM knows, for a new leader. Its dispatchers are left
     * out once the dispatch lease has ended: this VM then serves nothing, but still knows the owners.
     */
    Optional<RoutePlan> heldFromBefore(Term term, long nowMillis) {
        return plan.filter(p -> !p.term().equals(term))
                .map(p -> nowMillis < deadlineMillis ? p : new RoutePlan(p.term(), p.version(), Map.of(), p.owners()));
    }

    /** Takes in that a view with the present plan was published. */
    void published(long view) {
        plan.ifPresent(p -> planByView.put(view, p));
    }

    /** Takes in that nothing that a view's plan removed is in flight; returns whether that is news. */
    boolean drained(long view) {
        Map.Entry<Long, RoutePlan> drained = planByView.floorEntry(view);
        if (drained == null) {
            return false;
        }
        planByView.headMap(drained.getKey(), false).clear();
        boolean isNews = releasedPlan == null || drained.getValue().supersedes(releasedPlan);
        releasedPlan = drained.getValue();
        return isNews;
    }
}
