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
 * Takes over from the leaders of earlier terms. A VM that reports a plan continues to dispatch for the
 * servers that the plan assigns to it, and their shards keep their owners; no other VM can act for those.
 * All other servers and shards wait until every lease granted by earlier leaders has expired.
 */
final class Takeover {
    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ServerLeases leases;
    private final ShardMoves moves;
    private final ControlSettings settings;
    private final Set<SafetyRule> rules;
    private final Set<VmStart> processedReports = new TreeSet<>();
    private final Map<ShardId, RoutePlan.Ownership> newestReported = new HashMap<>();
    private boolean started;
    private long reportDeadlineMillis;

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

    /** Returns whether servers that no VM reported to dispatch for may get a dispatcher. */
    boolean isOver(StepContext step) {
        return step.predecessorDispatchLeasesExpired() || isPredecessorOver(step);
    }

    /** Returns the time before which servers may hold leases on a shard that no VM reported as owned. */
    long grantNotBeforeMillis(StepContext step, ApplicationId application) {
        return isPredecessorOver(step) || !directory.mayHoldLeases(application)
                ? Long.MIN_VALUE
                : step.inputs().predecessorEndMillis();
    }

    /**
     * Returns whether no lease granted by an earlier leader can still be in force. An empty log does not prove this,
     * because dispatchers are assigned before the first assignment is read back.
     */
    private boolean isPredecessorOver(StepContext step) {
        return step.predecessorLeasesExpired() || !rules.contains(SafetyRule.WAIT_FOR_PREDECESSOR);
    }

    /** Returns the newest ownership that any VM reported for a shard, or the recorded one if that is not older. */
    Optional<ShardAssignment> assignmentInForce(StepContext step, ShardId shard) {
        Optional<ShardAssignment> recorded = step.recordedAssignment(shard);
        RoutePlan.Ownership held = newestReported.get(shard);
        if (held == null) {
            return recorded;
        }
        if (recorded.isPresent() && recorded.get().token().compareTo(held.token()) >= 0) {
            return recorded;
        }
        return Optional.of(toAssignment(step, shard, held));
    }

    /** Applies the reported plans once all eligible dispatchers have reported or a heartbeat interval has passed. */
    void step(StepContext step) {
        if (!started) {
            started = true;
            reportDeadlineMillis = step.nowMillis() + settings.heartbeatMillis();
            leases.startTerm(step.inputs().predecessorEndMillis());
        }
        Map<VmStart, Optional<RoutePlan>> held = step.inputs().reportedPlans();
        boolean liveReported = held.keySet().containsAll(step.inputs().eligibleDispatchers());
        if (!liveReported && step.nowMillis() < reportDeadlineMillis) {
            return;
        }
        for (Map.Entry<VmStart, Optional<RoutePlan>> report : new TreeMap<>(held).entrySet()) {
            if (processedReports.add(report.getKey()) && report.getValue().isPresent()) {
                applyReport(step, report.getKey(), report.getValue().get());
            }
        }
    }

    private void applyReport(StepContext step, VmStart vm, RoutePlan plan) {
        plan.owners()
                .forEach((shard, owner) ->
                        newestReported.merge(shard, owner, (a, b) -> a.token().compareTo(b.token()) >= 0 ? a : b));
        if (step.predecessorDispatchLeasesExpired()) {
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
                .forEach(e -> keepOwner(step, e.getKey(), e.getValue()));
    }

    private void keepOwner(StepContext step, ShardId shard, RoutePlan.Ownership owner) {
        if (draft.hasOwner(shard)
                || !step.inputs().dataCentre().equals(step.tableEntry(shard).home())) {
            return;
        }
        draft.setOwner(shard, owner);
        ServerId server = owner.server();
        if (directory.checksTokens(server)) {
            leases.grant(server, shard, owner.token());
        }
        moves.ensureRecorded(step, shard);
    }

    private static ShardAssignment toAssignment(StepContext step, ShardId shard, RoutePlan.Ownership owner) {
        return new ShardAssignment(
                shard,
                owner.server(),
                TargetSelector.recordedServersExcept(step, shard, owner.server()),
                owner.token());
    }
}
