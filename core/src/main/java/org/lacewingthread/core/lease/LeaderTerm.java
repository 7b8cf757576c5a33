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

/** What a leader knows and has handed out in one term. */
final class LeaderTerm {
    private final VmContext context;
    private final Term term;
    private final OwnershipCoordinator coordinator;
    private final DispatchLeaseLedger ledger;
    private final long predecessorEndMillis;
    private final Map<VmStart, Optional<RoutePlan>> held = new HashMap<>();
    private final Map<ServerId, ServerCondition> conditions = new HashMap<>();
    private final Map<ServerId, ServerLoad> loads = new HashMap<>();
    private final PlanHistory plans = new PlanHistory();

    LeaderTerm(
            VmContext context,
            Term term,
            OwnershipCoordinator coordinator,
            HeldLeases leases,
            boolean hasPredecessor,
            long nowMillis) {
        this.context = context;
        this.term = term;
        this.coordinator = coordinator;
        boolean waits = hasPredecessor && context.rules().contains(ProtocolRule.WAIT_BEFORE_TAKEOVER);
        this.predecessorEndMillis = waits ? context.lengths().predecessorEnd(nowMillis) : nowMillis;
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

    /** Takes in a changed plan. */
    void replacePlan(RoutePlan changed) {
        plans.add(changed);
    }

    /** Takes in a reply to a heartbeat of this term; returns whether its sender waits for an echo. */
    boolean replied(VmStart vm, HeartbeatReply reply, long nowMillis) {
        held.putIfAbsent(vm, reply.earlierTermPlan());
        reply.load().forEach(l -> loads.put(l.server(), l));
        noteUnreachable(vm, new HashSet<>(reply.unreachableServers()));
        return ledger.replied(vm, reply, nowMillis);
    }

    private void noteUnreachable(VmStart vm, Set<ServerId> unreachable) {
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

    /** Takes in conditions that a dispatcher observed. */
    void observed(Map<ServerId, ServerCondition> observed) {
        conditions.putAll(observed);
    }

    /** Returns the change of plan that a VM lacks. */
    Optional<PlanUpdate> updateFor(VmStart vm) {
        return plans.updateFrom(ledger.appliedVersion(vm));
    }

    /**
     * Returns whether a VM dispatches for no server any more and has ended what it sent before, and whether
     * other VMs have taken over all its servers: a successor waits for every server without a dispatcher.
     */
    boolean hasHandedOver(VmStart vm, long nowMillis) {
        RoutePlan plan = plans.newest();
        if (plan == null) {
            return nowMillis >= predecessorEndMillis;
        }
        return !plan.dispatchers().containsValue(vm)
                && ledger.hasLeft(vm, plan.version(), nowMillis)
                && isTakenOver(plan, vm, nowMillis);
    }

    private boolean isTakenOver(RoutePlan plan, VmStart leaving, long nowMillis) {
        boolean allDispatched = plans.dispatchedServers().stream()
                .filter(server -> context.state().server(server) != null)
                .allMatch(plan.dispatchers()::containsKey);
        return allDispatched
                && context.roster().stream()
                        .map(RosterMember::start)
                        .filter(vm -> !vm.equals(leaving) && ledger.isLive(vm, nowMillis))
                        .allMatch(vm -> ledger.appliedVersion(vm) >= plan.version());
    }

    /** Returns what the coordinator decides on. */
    OwnershipInputs inputs(Set<VmStart> leaving, boolean logReachable, long nowMillis) {
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
                Map.copyOf(held),
                held.keySet().containsAll(roster),
                Map.copyOf(conditions),
                Map.copyOf(loads));
    }
}
