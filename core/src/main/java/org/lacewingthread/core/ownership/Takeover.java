package org.lacewingthread.core.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.ShardAssignment;

/**
 * Takes over from the leaders of earlier terms. A VM that reports a plan goes on dispatching for the
 * servers that the plan gives it, and their shards stay where they are; no other VM can act for those.
 * Everything else waits until all permissions of earlier leaders have run out.
 */
final class Takeover {
    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ServerLeases leases;
    private final ShardMoves moves;
    private final ControlSettings settings;
    private final Set<SafetyRule> rules;
    private final Set<VmStart> seen = new TreeSet<>();
    private final Map<ShardId, RoutePlan.Ownership> newestHeld = new HashMap<>();
    private boolean started;
    private long reportsUntilMillis;

    Takeover(
            PlanDraft draft,
            ServerDirectory directory,
            ServerLeases leases,
            ShardMoves moves,
            ControlSettings settings,
            Set<SafetyRule> rules) {
        this.draft = draft;
        this.directory = directory;
        this.leases = leases;
        this.moves = moves;
        this.settings = settings;
        this.rules = rules;
    }

    /** Returns whether servers that no VM reports to dispatch for may get a dispatcher. */
    boolean isOver(Step step) {
        return step.predecessorDispatchersGone() || hasNoPredecessor(step);
    }

    /** Returns when a shard that no VM reports as held may be granted; servers may hold leases until then. */
    long grantsFromMillis(Step step, ApplicationId application) {
        return hasNoPredecessor(step) || !directory.mayHoldLeases(application)
                ? Long.MIN_VALUE
                : step.inputs().predecessorEndMillis();
    }

    /** Nothing recorded proves nothing: dispatchers are named before the first assignment is read back. */
    private boolean hasNoPredecessor(Step step) {
        return step.predecessorGone() || !rules.contains(SafetyRule.WAIT_FOR_PREDECESSOR);
    }

    /** Returns the newest ownership that any VM reported for a shard, if it is newer than the recorded one. */
    Optional<ShardAssignment> standing(Step step, ShardId shard) {
        Optional<ShardAssignment> recorded = step.recorded(shard);
        RoutePlan.Ownership held = newestHeld.get(shard);
        if (held == null) {
            return recorded;
        }
        if (recorded.isPresent() && recorded.get().token().compareTo(held.token()) >= 0) {
            return recorded;
        }
        return Optional.of(assignment(step, shard, held));
    }

    void step(Step step) {
        if (!started) {
            started = true;
            reportsUntilMillis = step.nowMillis() + settings.heartbeatMillis();
            leases.startTerm(step.inputs().predecessorEndMillis());
        }
        Map<VmStart, Optional<RoutePlan>> held = step.inputs().held();
        boolean liveReported = held.keySet().containsAll(step.inputs().members());
        if (!liveReported && step.nowMillis() < reportsUntilMillis) {
            return;
        }
        for (Map.Entry<VmStart, Optional<RoutePlan>> report : new TreeMap<>(held).entrySet()) {
            if (seen.add(report.getKey()) && report.getValue().isPresent()) {
                takeIn(step, report.getKey(), report.getValue().get());
            }
        }
    }

    private void takeIn(Step step, VmStart vm, RoutePlan plan) {
        plan.owners()
                .forEach((shard, owner) ->
                        newestHeld.merge(shard, owner, (a, b) -> a.token().compareTo(b.token()) >= 0 ? a : b));
        if (step.predecessorDispatchersGone()) {
            return;
        }
        plan.dispatchers().entrySet().stream()
                .filter(e -> e.getValue().equals(vm)
                        && draft.dispatcherOf(e.getKey()).isEmpty())
                .map(Map.Entry::getKey)
                .sorted()
                .forEach(server -> draft.setDispatcher(server, vm));
        plan.owners().entrySet().stream()
                .filter(e -> vm.equals(plan.dispatchers().get(e.getValue().server())))
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> keep(step, e.getKey(), e.getValue()));
    }

    private void keep(Step step, ShardId shard, RoutePlan.Ownership owner) {
        if (draft.serves(shard)
                || !step.inputs().dataCentre().equals(step.entry(shard).home())) {
            return;
        }
        draft.setOwner(shard, owner);
        ServerId server = owner.server();
        if (directory.checksTokens(server)) {
            leases.grant(server, shard, owner.token());
        }
        moves.ensureRecorded(step, shard);
    }

    private static ShardAssignment assignment(Step step, ShardId shard, RoutePlan.Ownership owner) {
        return new ShardAssignment(
                shard, owner.server(), TargetChoice.failoverWithout(step, shard, owner.server()), owner.token());
    }
}
