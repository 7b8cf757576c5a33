package org.lacewingthread.core.ownership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.ownership.ShardMove.Cause;
import org.lacewingthread.core.ownership.ShardMove.Stage;

/**
 * Moves shards between owners, stage by stage. A shard in {@link Stage#RECORDING} is still served by its
 * old owner; in every later stage the plan does not contain it, unless the move only renews its token.
 */
final class ShardMoves {
    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ServerLeases leases;
    private final DispatcherAssignment dispatchers;
    private final AssignmentRecorder recorder;
    private final TargetSelector targets;
    private final SplitKeyShards splits;
    private final SourceLeaseRelease sourceRelease;
    private final Set<SafetyRule> rules;
    private final Map<ShardId, ShardMove> moves = new TreeMap<>();

    ShardMoves(
            PlanDraft draft,
            ServerDirectory directory,
            ServerLeases leases,
            DispatcherAssignment dispatchers,
            AssignmentRecorder recorder,
            SplitKeyShards splits,
            Set<SafetyRule> rules) {
        this.draft = draft;
        this.directory = directory;
        this.leases = leases;
        this.dispatchers = dispatchers;
        this.recorder = recorder;
        this.targets = new TargetSelector(draft, directory);
        this.splits = splits;
        this.sourceRelease = new SourceLeaseRelease(draft, directory, leases, rules);
        this.rules = rules;
    }

    boolean isMoving(ShardId shard) {
        return moves.containsKey(shard);
    }

    int count() {
        return moves.size();
    }

    /** Returns the number of shards that are moving off a server. */
    long countFrom(ServerId server) {
        return moves.values().stream().filter(m -> server.equals(m.source)).count();
    }

    /** Returns whether any shard of an application is moving. */
    boolean isAnyMoving(ApplicationId application) {
        return moves.keySet().stream().anyMatch(s -> s.application().equals(application));
    }

    /** Returns the shards of an application that are moving. */
    List<ShardId> movingShardsOf(ApplicationId application) {
        return moves.keySet().stream()
                .filter(s -> s.application().equals(application))
                .toList();
    }

    TargetSelector targets() {
        return targets;
    }

    /** Starts serving a shard that has no owner in the plan, under the assignment in force if there is one. */
    void startServing(StepContext step, ShardId shard, Optional<ShardAssignment> inForce, long notBeforeMillis) {
        ShardMove move = new ShardMove(shard, Cause.NOT_SERVED, null, Stage.GRANTING);
        move.grantNotBeforeMillis = notBeforeMillis;
        inForce.ifPresent(assignment -> {
            move.target = assignment.owner();
            move.token = assignment.token();
            move.failover = assignment.failover();
            if (!step.isRecorded(assignment)) {
                recorder.enqueueInUse(assignment);
            }
        });
        moves.put(shard, move);
    }

    /** Starts moving a served shard to the given server, or to one that {@link TargetSelector} selects. */
    void startMove(StepContext step, ShardId shard, Cause cause, Optional<ServerId> target) {
        RoutePlan.Ownership owner = draft.ownerOf(shard).orElseThrow();
        ShardMove running = moves.get(shard);
        if (running != null && running.cause.isServedWhileRecording() == cause.isServedWhileRecording()) {
            return;
        }
        boolean recordFirst = cause.isServedWhileRecording() && step.inputs().logReachable();
        if (recordFirst && !step.isRecorded(currentAssignment(step, shard, owner))) {
            return;
        }
        ShardMove move = new ShardMove(shard, cause, owner.server(), recordFirst ? Stage.RECORDING : Stage.LEAVING);
        target.ifPresent(s -> setTarget(step, move, s));
        moves.put(shard, move);
        if (!recordFirst) {
            removeFromPlan(move);
        }
        if (move.target == null) {
            chooseTarget(step, move);
        }
    }

    /** Records the current owner of a shard under a new token, higher than the one in the log. */
    void renewTokenInPlace(StepContext step, ShardId shard) {
        ServerId owner = draft.ownerOf(shard).orElseThrow().server();
        ShardMove move = new ShardMove(shard, Cause.TOKEN_OUTDATED, owner, Stage.RECORDING);
        moves.put(shard, move);
        setTarget(step, move, owner);
    }

    /** Queues a record of the current owner and failover list if the log lacks them and no move is in progress. */
    void ensureRecorded(StepContext step, ShardId shard) {
        if (isMoving(shard) || !draft.hasOwner(shard) || recorder.isPending(shard)) {
            return;
        }
        RoutePlan.Ownership owner = draft.ownerOf(shard).orElseThrow();
        if (step.isRecorded(shard, owner.server(), owner.token())) {
            refreshFailoverList(step, shard, owner);
            return;
        }
        ShardAssignment assignment = currentAssignment(step, shard, owner);
        if (step.mayRecord(assignment)) {
            recorder.enqueueInUse(assignment);
        } else {
            renewTokenInPlace(step, shard);
        }
    }

    private void refreshFailoverList(StepContext step, ShardId shard, RoutePlan.Ownership owner) {
        if (step.inputs().logReachable() && targets.isFailoverOutdated(step, shard)) {
            List<ServerId> failover = targets.failoverList(step, shard, owner.server());
            recorder.enqueue(new ShardAssignment(shard, owner.server(), failover, owner.token()));
        }
    }

    private static ShardAssignment currentAssignment(StepContext step, ShardId shard, RoutePlan.Ownership owner) {
        List<ServerId> failover = TargetSelector.recordedServersExcept(step, shard, owner.server());
        return new ShardAssignment(shard, owner.server(), failover, owner.token());
    }

    /** Gives a shard a new token after a server has refused the old one. */
    void replaceRefusedToken(StepContext step, ShardId shard) {
        if (draft.hasOwner(shard)) {
            startMove(step, shard, Cause.TOKEN_REFUSED, Optional.empty());
            return;
        }
        ShardMove move = moves.get(shard);
        if (move != null && move.stage == Stage.GRANTING && move.grantRequested) {
            sourceRelease.treatTargetAsSource(move);
            setTarget(step, move, move.target);
        }
    }

    /** Advances every move through all stages whose conditions are met. */
    void advance(StepContext step) {
        for (ShardMove move : List.copyOf(moves.values())) {
            Stage before;
            do {
                before = move.stage;
                advance(step, move);
            } while (moves.get(move.shard) == move && move.stage != before);
        }
    }

    /** Stops serving a shard, so that another data centre can adopt it. */
    void evacuate(ShardId shard) {
        ShardMove running = moves.get(shard);
        if (draft.hasOwner(shard)) {
            RoutePlan.Ownership owner = draft.ownerOf(shard).orElseThrow();
            ShardMove move = new ShardMove(shard, Cause.DATA_CENTRE_LEFT, owner.server(), Stage.LEAVING);
            moves.put(shard, move);
            recorder.cancel(shard);
            removeFromPlan(move);
        } else if (running != null && running.stage == Stage.GRANTING && !running.grantRequested) {
            boolean sourceFree = running.source == null || running.sourceLeaseEnded;
            Stage stage = sourceFree ? Stage.HANDING_OVER : Stage.RELEASING;
            ShardMove move = new ShardMove(shard, Cause.DATA_CENTRE_LEFT, running.source, stage);
            move.sourceRenewalStopped = running.sourceRenewalStopped;
            move.sourceLeaseEndMillis = running.sourceLeaseEndMillis;
            moves.put(shard, move);
            recorder.cancel(shard);
        }
    }

    /** Returns the shards that are ready to be adopted by another data centre. */
    List<ShardId> shardsAwaitingAdoption() {
        return moves.values().stream()
                .filter(m -> m.stage == Stage.HANDING_OVER)
                .map(m -> m.shard)
                .toList();
    }

    /** Stops serving and moving a shard that this data centre is no longer responsible for. */
    void abandon(ShardId shard) {
        ShardMove move = moves.remove(shard);
        if (move != null && move.target != null && move.grantRequested) {
            leases.withdraw(move.target, shard);
        }
        draft.ownerOf(shard).ifPresent(o -> leases.withdraw(o.server(), shard));
        draft.removeOwner(shard);
        recorder.cancel(shard);
    }

    private void advance(StepContext step, ShardMove move) {
        switch (move.stage) {
            case RECORDING -> advanceRecording(step, move);
            case LEAVING -> advanceLeaving(step, move);
            case RELEASING -> advanceReleasing(step, move);
            case GRANTING -> advanceGranting(step, move);
            case HANDING_OVER -> {}
            default -> throw new IllegalStateException("stage " + move.stage + " is not handled");
        }
    }

    private void advanceRecording(StepContext step, ShardMove move) {
        if (move.target != null && step.isRecorded(move.shard, move.target, move.token)) {
            if (move.staysInPlace()) {
                move.stage = Stage.GRANTING;
            } else if (separateSplitKey(step, move.shard)) {
                removeFromPlan(move);
            }
            return;
        }
        if (move.staysInPlace()) {
            return;
        }
        if (!step.inputs().logReachable()) {
            continueWithoutLog(step, move);
            return;
        }
        if (move.target == null || !directory.mayOwn(move.target, move.shard.application())) {
            chooseTarget(step, move);
        }
    }

    /**
     * Pauses the base shard of a split key until the requests that were sent as part of it have ended. Returns
     * whether the split key may move on.
     */
    private boolean separateSplitKey(StepContext step, ShardId shard) {
        Optional<ShardId> base = splits.unseparatedBaseOf(shard).filter(draft::hasOwner);
        if (base.isEmpty() || !rules.contains(SafetyRule.SEPARATE_SPLIT_KEYS)) {
            return true;
        }
        boolean splitKnown =
                splits.isKnownToDispatchers(step, splits.split(shard).orElseThrow());
        if (!splitKnown || isMoving(base.get())) {
            return false;
        }
        RoutePlan.Ownership owner = draft.ownerOf(base.get()).orElseThrow();
        ShardMove pause = new ShardMove(base.get(), Cause.PAUSED, owner.server(), Stage.LEAVING);
        pause.target = owner.server();
        pause.token = owner.token();
        pause.failover = TargetSelector.recordedServersExcept(step, base.get(), owner.server());
        moves.put(base.get(), pause);
        removeFromPlan(pause);
        splits.separated(shard);
        return true;
    }

    /** Continues a necessary move along the failover list; otherwise the owner keeps the shard under a new token. */
    private void continueWithoutLog(StepContext step, ShardMove move) {
        if (move.cause.continuesWithoutLog() && targets.hasAlternative(step, move.shard, move.source)) {
            removeFromPlan(move);
            chooseTarget(step, move);
            return;
        }
        renewTokenInPlace(step, move.shard);
    }

    private void removeFromPlan(ShardMove move) {
        move.outgoingDispatchers = rules.contains(SafetyRule.WAIT_FOR_DISPATCHER)
                ? dispatchers.dispatchersToAwait(move.source)
                : List.of();
        draft.removeOwner(move.shard);
        move.stage = Stage.LEAVING;
        if (!move.cause.isServedWhileRecording()) {
            sourceRelease.stopRenewal(move);
        }
    }

    private void advanceLeaving(StepContext step, ShardMove move) {
        if (move.outgoingDispatchers.stream().allMatch(d -> d.hasStopped(step))) {
            sourceRelease.stopRenewal(move);
            move.stage = Stage.RELEASING;
        }
    }

    private void advanceReleasing(StepContext step, ShardMove move) {
        if (move.source.equals(move.target) || sourceRelease.tryRelease(step, move)) {
            move.stage = move.cause == Cause.DATA_CENTRE_LEFT ? Stage.HANDING_OVER : Stage.GRANTING;
        }
    }

    private void advanceGranting(StepContext step, ShardMove move) {
        if (move.target == null || directory.isLost(move.target)) {
            retarget(step, move);
        }
        if (sourceRelease.mustReleaseSource(move)) {
            move.stage = Stage.RELEASING;
        }
        boolean mustWait = move.target == null || step.nowMillis() < move.grantNotBeforeMillis;
        if (mustWait || move.stage != Stage.GRANTING || !mayUseAssignment(step, move)) {
            return;
        }
        if (!splits.mayBeOwnedApart(step, move.shard, move.target)) {
            return;
        }
        if (directory.checksTokens(move.target)) {
            if (!move.grantRequested) {
                leases.grant(move.target, move.shard, move.token);
                move.grantRequested = true;
            }
            if (!leases.isConfirmed(move.target, move.shard)) {
                return;
            }
        }
        complete(move);
    }

    private void retarget(StepContext step, ShardMove move) {
        if (move.target != null && !targets.hasAlternative(step, move.shard, move.target)) {
            return;
        }
        if (move.grantRequested) {
            sourceRelease.treatTargetAsSource(move);
        }
        chooseTarget(step, move);
    }

    /** Returns whether the assignment is recorded or, with the log unreachable, follows the failover list. */
    private boolean mayUseAssignment(StepContext step, ShardMove move) {
        if (step.isRecorded(move.shard, move.target, move.token) || !rules.contains(SafetyRule.RECORD_BEFORE_USE)) {
            return true;
        }
        if (move.provisional) {
            return true;
        }
        if (step.inputs().logReachable()) {
            return false;
        }
        List<ServerId> allowed = TargetSelector.recordedServers(step, move.shard);
        if (!allowed.contains(move.target)) {
            chooseTarget(step, move);
            return false;
        }
        move.provisional = true;
        recorder.enqueueInUse(move.assignment());
        step.auditNotes()
                .add("shard " + move.shard + " goes from " + (move.source == null ? "no server" : move.source) + " to "
                        + move.target + " along its failover list under token " + move.token);
        return true;
    }

    private void complete(ShardMove move) {
        draft.setOwner(move.shard, move.ownership());
        moves.remove(move.shard);
    }

    private void chooseTarget(StepContext step, ShardMove move) {
        ServerId excluded = move.target != null && directory.isLost(move.target) ? move.target : move.source;
        boolean sourceAllowed = move.cause == Cause.TOKEN_REFUSED;
        Optional<ServerId> next = targets.choose(step, move.shard, sourceAllowed ? null : excluded);
        if (next.isPresent() && !next.get().equals(move.target)) {
            setTarget(step, move, next.get());
        }
    }

    private void setTarget(StepContext step, ShardMove move, ServerId target) {
        move.target = target;
        move.token = draft.newToken();
        move.provisional = false;
        move.failover = step.inputs().logReachable()
                ? targets.failoverList(step, move.shard, target)
                : TargetSelector.recordedServersExcept(step, move.shard, target);
        recorder.enqueue(move.assignment());
    }
}
