package org.lacewingthread.core.ownership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingthread.core.control.RoutePlan;
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
    private final Set<SafetyRule> rules;
    private final Map<ShardId, ShardMove> moves = new TreeMap<>();

    ShardMoves(
            PlanDraft draft,
            ServerDirectory directory,
            ServerLeases leases,
            DispatcherAssignment dispatchers,
            AssignmentRecorder recorder,
            Set<SafetyRule> rules) {
        this.draft = draft;
        this.directory = directory;
        this.leases = leases;
        this.dispatchers = dispatchers;
        this.recorder = recorder;
        this.targets = new TargetChoice(draft, directory);
        this.rules = rules;
    }

    boolean isMoving(ShardId shard) {
        return moves.containsKey(shard);
    }

    /** Counts the shards on their way from a server. */
    long countFrom(ServerId server) {
        return moves.values().stream().filter(m -> server.equals(m.source)).count();
    }

    TargetChoice targets() {
        return targets;
    }

    /** Starts to serve a shard that has no owner in force, with an assignment that still stands if given. */
    void serve(Step step, ShardId shard, Optional<ShardAssignment> standing) {
        ShardMove move = new ShardMove(shard, Cause.NOT_SERVED, null, Stage.GRANTING);
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
        ShardMove move = new ShardMove(shard, cause, owner.server(), recordFirst ? Stage.RECORDING : Stage.LEAVING);
        target.ifPresent(s -> setTarget(step, move, s));
        moves.put(shard, move);
        if (!recordFirst) {
            leavePlan(step, move);
        }
        if (move.target == null) {
            chooseTarget(step, move);
        }
    }

    /** Gives a shard a new token after a server refused the old one. */
    void renewToken(Step step, ShardId shard) {
        if (draft.serves(shard)) {
            move(step, shard, Cause.TOKEN_REFUSED, Optional.empty());
            return;
        }
        ShardMove move = moves.get(shard);
        if (move != null && move.stage == Stage.GRANTING && move.target != null) {
            move.grantRequested = false;
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
            default -> throw new IllegalStateException("stage " + move.stage + " is not handled");
        }
    }

    private void record(Step step, ShardMove move) {
        if (move.target != null && step.isRecorded(move.assignment())) {
            leavePlan(step, move);
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

    /** With the log out a necessary move follows the failover list and any other is given up. */
    private void stopRecording(Step step, ShardMove move) {
        if (move.cause.isNecessary() && targets.hasAlternative(step, move.shard, move.source)) {
            leavePlan(step, move);
            chooseTarget(step, move);
            return;
        }
        moves.remove(move.shard);
        RoutePlan.Ownership owner = draft.ownerOf(move.shard).orElseThrow();
        recorder.wantInUse(new ShardAssignment(
                move.shard,
                owner.server(),
                TargetChoice.failoverWithout(step, move.shard, owner.server()),
                owner.token()));
    }

    private void leavePlan(Step step, ShardMove move) {
        move.departures =
                rules.contains(SafetyRule.WAIT_FOR_DISPATCHER) ? dispatchers.departuresFrom(move.source) : List.of();
        move.waitsForPredecessor = !step.predecessorGone();
        draft.removeOwner(move.shard);
        move.stage = Stage.LEAVING;
        if (!move.cause.isServedMeanwhile()) {
            withdrawSource(move);
        }
    }

    private void withdrawSource(ShardMove move) {
        if (!move.sourceWithdrawn && directory.checksTokens(move.source)) {
            move.sourceLeaseEndMillis = leases.withdraw(move.source, move.shard);
        }
        move.sourceWithdrawn = true;
    }

    private void leave(Step step, ShardMove move) {
        boolean predecessorGone = !move.waitsForPredecessor || step.predecessorGone();
        if (predecessorGone && move.departures.stream().allMatch(d -> d.isOver(step))) {
            withdrawSource(move);
            move.stage = Stage.RELEASING;
        }
    }

    private void release(Step step, ShardMove move) {
        boolean bound = directory.checksTokens(move.source) && rules.contains(SafetyRule.WAIT_FOR_SERVER_LEASE);
        if (!bound || move.source.equals(move.target)) {
            move.stage = Stage.GRANTING;
            return;
        }
        if (step.nowMillis() >= move.sourceLeaseEndMillis || leases.takeReleased(move.source, move.shard)) {
            leases.cancelRelease(move.source, move.shard);
            move.stage = Stage.GRANTING;
            return;
        }
        if (directory.answers(move.source)) {
            if (move.releaseToken == null) {
                move.releaseToken = draft.newToken();
            }
            leases.requestRelease(move.source, move.shard, move.releaseToken);
        }
    }

    private void grant(Step step, ShardMove move) {
        if (move.target == null || directory.isLost(move.target)) {
            retarget(step, move);
        }
        if (move.target == null || move.stage != Stage.GRANTING || !mayUse(step, move)) {
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
            move.source = move.target;
            move.sourceWithdrawn = false;
            move.releaseToken = null;
            withdrawSource(move);
            move.grantRequested = false;
            move.stage = Stage.RELEASING;
        }
        chooseTarget(step, move);
    }

    /** Returns whether the assignment is recorded, or is a step along the failover list with the log out. */
    private boolean mayUse(Step step, ShardMove move) {
        if (step.isRecorded(move.assignment()) || !rules.contains(SafetyRule.RECORD_BEFORE_USE)) {
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
