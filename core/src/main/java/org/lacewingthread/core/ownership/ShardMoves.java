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
 * Carries shards from one owner to the next, stage by stage. A shard in {@link Stage#RECORDING} is
 * still served by its old owner; in every later stage the plan does not name it.
 */
final class ShardMoves {
    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ServerLeases leases;
    private final DispatcherAssignment dispatchers;
    private final AssignmentRecorder recorder;
    private final TargetChoice targets;
    private final SplitShards splits;
    private final SourceRelease sources;
    private final Set<SafetyRule> rules;
    private final Map<ShardId, ShardMove> moves = new TreeMap<>();

    ShardMoves(
            PlanDraft draft,
            ServerDirectory directory,
            ServerLeases leases,
            DispatcherAssignment dispatchers,
            AssignmentRecorder recorder,
            SplitShards splits,
            Set<SafetyRule> rules) {
        this.draft = draft;
        this.directory = directory;
        this.leases = leases;
        this.dispatchers = dispatchers;
        this.recorder = recorder;
        this.targets = new TargetChoice(draft, directory);
        this.splits = splits;
        this.sources = new SourceRelease(draft, directory, leases, rules);
        this.rules = rules;
    }

    boolean isMoving(ShardId shard) {
        return moves.containsKey(shard);
    }

    int count() {
        return moves.size();
    }

    /** Counts the shards on their way from a server. */
    long countFrom(ServerId server) {
        return moves.values().stream().filter(m -> server.equals(m.source)).count();
    }

    /** Returns whether a shard of an application is moving. */
    boolean anyOf(ApplicationId application) {
        return moves.keySet().stream().anyMatch(s -> s.application().equals(application));
    }

    /** Returns the shards of an application that are moving. */
    List<ShardId> movingOf(ApplicationId application) {
        return moves.keySet().stream()
                .filter(s -> s.application().equals(application))
                .toList();
    }

    TargetChoice targets() {
        return targets;
    }

    /** Starts to serve a shard that has no owner in force, with an assignment that still stands if given. */
    void serve(Step step, ShardId shard, Optional<ShardAssignment> standing, long fromMillis) {
        ShardMove move = new ShardMove(shard, Cause.NOT_SERVED, null, Stage.GRANTING);
        move.grantFromMillis = fromMillis;
        standing.ifPresent(assignment -> {
            move.target = assignment.owner();
            move.token = assignment.token();
            move.failover = assignment.failover();
            if (!step.isRecorded(assignment)) {
                recorder.wantInUse(assignment);
            }
        });
        moves.put(shard, move);
    }

    /** Starts to move a served shard to a server, or to a chosen one if none is given. */
    void move(Step step, ShardId shard, Cause cause, Optional<ServerId> target) {
        RoutePlan.Ownership owner = draft.ownerOf(shard).orElseThrow();
        ShardMove running = moves.get(shard);
        if (running != null && running.cause.isServedMeanwhile() == cause.isServedMeanwhile()) {
            return;
        }
        boolean recordFirst = cause.isServedMeanwhile() && step.inputs().logReachable();
        if (recordFirst && !step.isRecorded(inUse(step, shard, owner))) {
            return;
        }
        ShardMove move = new ShardMove(shard, cause, owner.server(), recordFirst ? Stage.RECORDING : Stage.LEAVING);
        target.ifPresent(s -> setTarget(step, move, s));
        moves.put(shard, move);
        if (!recordFirst) {
            leavePlan(move);
        }
        if (move.target == null) {
            chooseTarget(step, move);
        }
    }

    /** Records the present owner of a shard under a new token, above whatever the log names. */
    void renewInPlace(Step step, ShardId shard) {
        ServerId owner = draft.ownerOf(shard).orElseThrow().server();
        ShardMove move = new ShardMove(shard, Cause.TOKEN_OUTDATED, owner, Stage.RECORDING);
        moves.put(shard, move);
        setTarget(step, move, owner);
    }

    /** Sees to it that the owner in use is recorded, if nothing else does. */
    void ensureRecorded(Step step, ShardId shard) {
        if (isMoving(shard) || !draft.serves(shard) || recorder.isPending(shard)) {
            return;
        }
        RoutePlan.Ownership owner = draft.ownerOf(shard).orElseThrow();
        if (step.isRecorded(shard, owner.server(), owner.token())) {
            refreshFailover(step, shard, owner);
            return;
        }
        ShardAssignment assignment = inUse(step, shard, owner);
        if (step.mayRecord(assignment)) {
            recorder.wantInUse(assignment);
        } else {
            renewInPlace(step, shard);
        }
    }

    private void refreshFailover(Step step, ShardId shard, RoutePlan.Ownership owner) {
        if (step.inputs().logReachable() && targets.isFailoverOutdated(step, shard)) {
            List<ServerId> failover = targets.failover(step, shard, owner.server());
            recorder.want(new ShardAssignment(shard, owner.server(), failover, owner.token()));
        }
    }

    private static ShardAssignment inUse(Step step, ShardId shard, RoutePlan.Ownership owner) {
        List<ServerId> failover = TargetChoice.failoverWithout(step, shard, owner.server());
        return new ShardAssignment(shard, owner.server(), failover, owner.token());
    }

    /** Gives a shard a new token after a server refused the old one. */
    void renewToken(Step step, ShardId shard) {
        if (draft.serves(shard)) {
            move(step, shard, Cause.TOKEN_REFUSED, Optional.empty());
            return;
        }
        ShardMove move = moves.get(shard);
        if (move != null && move.stage == Stage.GRANTING && move.grantRequested) {
            sources.targetBecomesSource(move);
            setTarget(step, move, move.target);
        }
    }

    /** Takes every move as far as it can go. */
    void advance(Step step) {
        for (ShardMove move : List.copyOf(moves.values())) {
            Stage before;
            do {
                before = move.stage;
                advance(step, move);
            } while (moves.get(move.shard) == move && move.stage != before);
        }
    }

    /** Ends the service of an application's shards, so that another data centre can adopt them. */
    void leaveDataCentre(ShardId shard) {
        ShardMove running = moves.get(shard);
        if (draft.serves(shard)) {
            RoutePlan.Ownership owner = draft.ownerOf(shard).orElseThrow();
            ShardMove move = new ShardMove(shard, Cause.DATA_CENTRE_LEFT, owner.server(), Stage.LEAVING);
            moves.put(shard, move);
            recorder.forget(shard);
            leavePlan(move);
        } else if (running != null && running.stage == Stage.GRANTING && !running.grantRequested) {
            boolean free = running.source == null || running.sourceFreed;
            Stage stage = free ? Stage.HANDING_OVER : Stage.RELEASING;
            ShardMove move = new ShardMove(shard, Cause.DATA_CENTRE_LEFT, running.source, stage);
            move.sourceWithdrawn = running.sourceWithdrawn;
            move.sourceLeaseEndMillis = running.sourceLeaseEndMillis;
            moves.put(shard, move);
            recorder.forget(shard);
        }
    }

    /** Returns the shards that wait for another data centre to adopt them. */
    List<ShardId> handingOver() {
        return moves.values().stream()
                .filter(m -> m.stage == Stage.HANDING_OVER)
                .map(m -> m.shard)
                .toList();
    }

    /** Gives up a shard that another data centre governs now. */
    void abandon(ShardId shard) {
        ShardMove move = moves.remove(shard);
        if (move != null && move.target != null && move.grantRequested) {
            leases.withdraw(move.target, shard);
        }
        draft.ownerOf(shard).ifPresent(o -> leases.withdraw(o.server(), shard));
        draft.removeOwner(shard);
        recorder.forget(shard);
    }

    private void advance(Step step, ShardMove move) {
        switch (move.stage) {
            case RECORDING -> record(step, move);
            case LEAVING -> leave(step, move);
            case RELEASING -> release(step, move);
            case GRANTING -> grant(step, move);
            case HANDING_OVER -> {}
            default -> throw new IllegalStateException("stage " + move.stage + " is not handled");
        }
    }

    private void record(Step step, ShardMove move) {
        if (move.target != null && step.isRecorded(move.shard, move.target, move.token)) {
            if (move.staysInPlace()) {
                move.stage = Stage.GRANTING;
            } else if (separate(step, move.shard)) {
                leavePlan(move);
            }
            return;
        }
        if (move.staysInPlace()) {
            return;
        }
        if (!step.inputs().logReachable()) {
            stopRecording(step, move);
            return;
        }
        if (move.target == null || !directory.mayOwn(move.target, move.shard.application())) {
            chooseTarget(step, move);
        }
    }

    /** Pauses the shard that a split-out key came from, so that no request sent as part of it is left. */
    private boolean separate(Step step, ShardId shard) {
        Optional<ShardId> base = splits.notYetSeparated(shard).filter(draft::serves);
        if (base.isEmpty() || !rules.contains(SafetyRule.SEPARATE_SPLIT_KEYS)) {
            return true;
        }
        boolean known = splits.isKnownToDispatchers(step, splits.split(shard).orElseThrow());
        if (!known || isMoving(base.get())) {
            return false;
        }
        RoutePlan.Ownership owner = draft.ownerOf(base.get()).orElseThrow();
        ShardMove pause = new ShardMove(base.get(), Cause.PAUSED, owner.server(), Stage.LEAVING);
        pause.target = owner.server();
        pause.token = owner.token();
        pause.failover = TargetChoice.failoverWithout(step, base.get(), owner.server());
        moves.put(base.get(), pause);
        leavePlan(pause);
        splits.separated(shard);
        return true;
    }

    /** With the log out a necessary move follows the failover list and any other is given up. */
    private void stopRecording(Step step, ShardMove move) {
        if (move.cause.isNecessary() && targets.hasAlternative(step, move.shard, move.source)) {
            leavePlan(move);
            chooseTarget(step, move);
            return;
        }
        renewInPlace(step, move.shard);
    }

    private void leavePlan(ShardMove move) {
        move.departures =
                rules.contains(SafetyRule.WAIT_FOR_DISPATCHER) ? dispatchers.departuresFrom(move.source) : List.of();
        draft.removeOwner(move.shard);
        move.stage = Stage.LEAVING;
        if (!move.cause.isServedMeanwhile()) {
            sources.withdraw(move);
        }
    }

    private void leave(Step step, ShardMove move) {
        if (move.departures.stream().allMatch(d -> d.isOver(step))) {
            sources.withdraw(move);
            move.stage = Stage.RELEASING;
        }
    }

    private void release(Step step, ShardMove move) {
        if (move.source.equals(move.target) || sources.isFree(step, move)) {
            move.stage = move.cause == Cause.DATA_CENTRE_LEFT ? Stage.HANDING_OVER : Stage.GRANTING;
        }
    }

    private void grant(Step step, ShardMove move) {
        if (move.target == null || directory.isLost(move.target)) {
            retarget(step, move);
        }
        if (sources.isBound(move)) {
            move.stage = Stage.RELEASING;
        }
        boolean waits = move.target == null || step.nowMillis() < move.grantFromMillis;
        if (waits || move.stage != Stage.GRANTING || !mayUse(step, move)) {
            return;
        }
        if (!splits.mayPart(step, move.shard, move.target)) {
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
        finish(move);
    }

    private void retarget(Step step, ShardMove move) {
        if (move.target != null && !targets.hasAlternative(step, move.shard, move.target)) {
            return;
        }
        if (move.grantRequested) {
            sources.targetBecomesSource(move);
        }
        chooseTarget(step, move);
    }

    /** Returns whether the assignment is recorded, or is a step along the failover list with the log out. */
    private boolean mayUse(Step step, ShardMove move) {
        if (step.isRecorded(move.shard, move.target, move.token) || !rules.contains(SafetyRule.RECORD_BEFORE_USE)) {
            return true;
        }
        if (move.provisional) {
            return true;
        }
        if (step.inputs().logReachable()) {
            return false;
        }
        List<ServerId> allowed = TargetChoice.recordedOrder(step, move.shard);
        if (!allowed.contains(move.target)) {
            chooseTarget(step, move);
            return false;
        }
        move.provisional = true;
        recorder.wantInUse(move.assignment());
        step.notes()
                .add("shard " + move.shard + " goes from " + (move.source == null ? "no server" : move.source) + " to "
                        + move.target + " along its failover list under token " + move.token);
        return true;
    }

    private void finish(ShardMove move) {
        draft.setOwner(move.shard, move.ownership());
        moves.remove(move.shard);
    }

    private void chooseTarget(Step step, ShardMove move) {
        ServerId avoided = move.target != null && directory.isLost(move.target) ? move.target : move.source;
        boolean sameAllowed = move.cause == Cause.TOKEN_REFUSED;
        Optional<ServerId> next = targets.choose(step, move.shard, sameAllowed ? null : avoided);
        if (next.isPresent() && !next.get().equals(move.target)) {
            setTarget(step, move, next.get());
        }
    }

    private void setTarget(Step step, ShardMove move, ServerId target) {
        move.target = target;
        move.token = draft.newToken();
        move.provisional = false;
        move.failover = step.inputs().logReachable()
                ? targets.failover(step, move.shard, target)
                : TargetChoice.failoverWithout(step, move.shard, target);
        recorder.want(move.assignment());
    }
}
