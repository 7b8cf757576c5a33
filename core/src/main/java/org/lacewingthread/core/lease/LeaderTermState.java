package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.control.PeerMessage.HeartbeatReply;
import org.lacewingthread.core.control.PlanUpdate;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.ownership.OwnershipCoordinator;
import org.lacewingthread.core.ownership.OwnershipInputs;

/** State of a leader in one term: the route plans and dispatch leases it issued and the reports it received. */
final class LeaderTermState {
    private final VmContext context;
    private final Term term;
    private final OwnershipCoordinator coordinator;
    private final DispatchLeaseLedger ledger;
    private final long predecessorEndMillis;
    private final Map<VmStart, Optional<RoutePlan>> reportedPlans = new HashMap<>();
    private final Map<ServerId, ServerCondition> conditions = new HashMap<>();
    private final Map<ServerId, ServerLoad> loads = new HashMap<>();
    private final PlanHistory plans = new PlanHistory();

    LeaderTermState(
            VmContext context,
            Term term,
            OwnershipCoordinator coordinator,
            HeldLeaderLeases leases,
            boolean hasPredecessor,
            long nowMillis) {
        this.context = context;
        this.term = term;
        this.coordinator = coordinator;
        boolean mustWait = hasPredecessor && context.rules().contains(ProtocolRule.WAIT_BEFORE_TAKEOVER);
        this.predecessorEndMillis = mustWait ? context.leaseDeadlines().predecessorLeaseEnd(nowMillis) : nowMillis;
        this.ledger = new DispatchLeaseLedger(context, leases, predecessorEndMillis);
    }

    Term term() {
        return term;
    }

    OwnershipCoordinator coordinator() {
        return coordinator;
    }

    DispatchLeaseLedger ledger() {
        return ledger;
    }

    Optional<RoutePlan> plan() {
        return Optional.ofNullable(plans.newest());
    }

    /** Replaces the newest plan. */
    void replacePlan(RoutePlan changed) {
        plans.add(changed);
    }

    /** Records a reply to a heartbeat of this term. Returns whether it reports a newly applied plan, to be echoed. */
    boolean recordReply(VmStart vm, HeartbeatReply reply, long nowMillis) {
        reportedPlans.putIfAbsent(vm, reply.earlierTermPlan());
        reply.load().forEach(l -> loads.put(l.server(), l));
        updateConditions(vm, new HashSet<>(reply.unreachableServers()));
        return ledger.recordReply(vm, reply, nowMillis);
    }

    private void updateConditions(VmStart vm, Set<ServerId> unreachable) {
        unreachable.forEach(s -> conditions.put(s, ServerCondition.UNREACHABLE));
        RoutePlan plan = plans.newest();
        if (plan == null) {
            return;
        }
        conditions.replaceAll((server, condition) -> {
            boolean dispatches = vm.equals(plan.dispatchers().get(server));
            boolean answersAgain = dispatches && !unreachable.contains(server) && !condition.isAnswering();
            return answersAgain ? ServerCondition.REACHABLE : condition;
        });
    }

    /** Records server conditions that a dispatcher observed. */
    void recordConditions(Map<ServerId, ServerCondition> observed) {
        conditions.putAll(observed);
    }

    /** Returns the plan update that brings a VM up to date, or empty if it is up to date. */
    Optional<PlanUpdate> updateFor(VmStart vm) {
        return plans.updateFrom(ledger.appliedVersion(vm));
    }

    /**
     * Returns whether a VM no longer dispatches for any server, its earlier requests have ended, and other VMs
     * have taken over all its servers. The last condition is needed because a new leader waits for the end of the
     * predecessor's leases for every server without a dispatcher.
     */
    boolean hasHandedOver(VmStart vm, long nowMillis) {
        RoutePlan plan = plans.newest();
        if (plan == null) {
            return nowMillis >= predecessorEndMillis;
        }
        return !plan.dispatchers().containsValue(vm)
                && ledger.hasStoppedUsingPlansBefore(vm, plan.version(), nowMillis)
                && areServersTakenOver(plan, vm, nowMillis);
    }

    private boolean areServersTakenOver(RoutePlan plan, VmStart leaving, long nowMillis) {
        boolean allDispatched = plans.dispatchedServers().stream()
                .filter(server -> context.state().server(server) != null)
                .allMatch(plan.dispatchers()::containsKey);
        return allDispatched
                && context.roster().stream()
                        .map(RosterMember::start)
                        .filter(vm -> !vm.equals(leaving) && ledger.isLive(vm, nowMillis))
                        .allMatch(vm -> ledger.appliedVersion(vm) >= plan.version());
    }

    /** Returns the inputs of the ownership coordinator's next step. */
    OwnershipInputs ownershipInputs(Set<VmStart> leaving, boolean logReachable, long nowMillis) {
        List<VmStart> roster =
                context.roster().stream().map(RosterMember::start).toList();
        List<VmStart> members = roster.stream()
                .filter(vm -> ledger.isLive(vm, nowMillis))
                .filter(vm -> !leaving.contains(vm))
                .toList();
        return new OwnershipInputs(
                context.identity().dataCentre(),
                context.self(),
                term,
                context.state(),
                logReachable,
                members,
                ledger,
                predecessorEndMillis,
                Map.copyOf(reportedPlans),
                reportedPlans.keySet().containsAll(roster),
                Map.copyOf(conditions),
                Map.copyOf(loads));
    }
}
