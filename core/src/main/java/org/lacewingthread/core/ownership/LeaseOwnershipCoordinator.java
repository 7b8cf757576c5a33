package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.ownership.ShardMove.Cause;

/**
 * Coordinates shard ownership with leases. In the plan each shard has one owner and each backend server one
 * dispatcher; each server that checks tokens has one lease for all its shards.
 *
 * <pre>{@code
 * OwnershipCoordinator coordinator = new LeaseOwnershipCoordinator(settings);
 * OwnershipActions actions = coordinator.step(inputs, nowMillis);
 * // distribute actions.plan(), append actions.records(), send actions.orders(), audit actions.auditNotes()
 * coordinator.orderAnswered(server, sequence, true, nowMillis);
 * }</pre>
 *
 * <p>The decisions are made by {@link Takeover} (state inherited from earlier leaders),
 * {@link DispatcherAssignment}, {@link ShardReconciler} (shards that no server serves), {@link ShardMoves},
 * {@link ServerLeases}, {@link AssignmentRecorder}, {@link ShardRebalancer}, {@link HotKeySplitter} and
 * {@link DataCentreEvacuation}.
 */
public final class LeaseOwnershipCoordinator implements OwnershipCoordinator {
    private static final int MIN_CONCURRENT_HANDOVERS = 4;
    private static final int CONCURRENT_HANDOVER_DIVISOR = 8;

    private final ControlSettings settings;
    private final Set<SafetyRule> rules;
    private final ServerLeases leases;
    private final ServerDirectory directory;
    private final AssignmentRecorder recorder;
    private PlanDraft draft;
    private DispatcherAssignment dispatchers;
    private ShardMoves moves;
    private Takeover takeover;
    private ShardReconciler reconciler;
    private SplitKeyShards splits;
    private ShardRebalancer rebalancer;
    private HotKeySplitter hotKeySplitter;
    private DataCentreEvacuation evacuation;

    /** Creates the coordinator of a new term, without any known state. */
    public LeaseOwnershipCoordinator(ControlSettings settings) {
        this(settings, EnumSet.allOf(SafetyRule.class));
    }

    LeaseOwnershipCoordinator(ControlSettings settings, Set<SafetyRule> rules) {
        this.settings = settings;
        this.rules = rules;
        this.leases = new ServerLeases(settings, rules);
        this.directory = new ServerDirectory(leases::isPresumedLost);
        this.recorder = new AssignmentRecorder(rules);
    }

    @Override
    public OwnershipActions step(OwnershipInputs inputs, long nowMillis) {
        if (draft == null) {
            startTerm(inputs);
        }
        StepContext step = StepContext.of(inputs, settings, nowMillis);
        directory.refresh(step);
        moves.targets().clearCaches();
        splits.refresh(step);
        takeover.step(step);
        leases.takeRefused().forEach(shard -> moves.replaceRefusedToken(step, shard));
        draft.owningServers().forEach(server -> moveShardsOff(step, server));
        reconciler.step(step);
        rebalancer.step(step);
        dispatchers.step(step, directory.servers(), takeover.isOver(step));
        moves.advance(step);
        List<LogRecord> records = new ArrayList<>(recorder.nextRecords(step));
        if (!recorder.hasUnrecordedInUse()) {
            records.addAll(hotKeySplitter.step(step));
            records.addAll(evacuation.step(step));
        }
        List<ServerOrder> orders = leases.orders(directory::isAnswering, nowMillis);
        Optional<RoutePlan> plan = draft.completeStep();
        return new OwnershipActions(plan, records, orders, step.auditNotes());
    }

    @Override
    public void orderAnswered(ServerId server, long sequence, boolean accepted, long nowMillis) {
        leases.orderAnswered(server, sequence, accepted, nowMillis);
    }

    @Override
    public void orderFailed(ServerId server, long sequence, long nowMillis) {
        leases.orderFailed(server, sequence, nowMillis);
    }

    private void startTerm(OwnershipInputs inputs) {
        draft = new PlanDraft(inputs.term());
        dispatchers = new DispatcherAssignment(draft, rules);
        splits = new SplitKeyShards(draft);
        moves = new ShardMoves(draft, directory, leases, dispatchers, recorder, splits, rules);
        takeover = new Takeover(draft, directory, leases, moves, settings, rules);
        rebalancer = new ShardRebalancer(draft, directory, moves);
        hotKeySplitter = new HotKeySplitter(draft, directory, moves, splits);
        evacuation = new DataCentreEvacuation(draft, directory, moves);
        reconciler = new ShardReconciler(draft, directory, moves, takeover, settings);
    }

    /** Starts moving shards off a server that is lost or must hand them over. */
    private void moveShardsOff(StepContext step, ServerId server) {
        if (directory.isLost(server)) {
            for (ShardId shard : draft.shardsOf(server)) {
                if (moves.targets().hasAlternative(step, shard, server)) {
                    moves.startMove(step, shard, Cause.OWNER_LOST, Optional.empty());
                }
            }
            return;
        }
        for (ApplicationSpec application : directory.applications()) {
            if (directory.mustHandOver(server, application.id())) {
                moveGradually(step, server, application);
            }
        }
    }

    /**
     * Starts moves off a server that still serves; at most the larger of {@code MIN_CONCURRENT_HANDOVERS} and one
     * in {@code CONCURRENT_HANDOVER_DIVISOR} of its shards move at once.
     */
    private void moveGradually(StepContext step, ServerId server, ApplicationSpec application) {
        int limit = Math.max(MIN_CONCURRENT_HANDOVERS, draft.shardCountOf(server) / CONCURRENT_HANDOVER_DIVISOR);
        long moving = moves.countFrom(server);
        for (ShardId shard : draft.shardsOf(server)) {
            if (moving >= limit) {
                return;
            }
            boolean movable = shard.application().equals(application.id()) && !moves.isMoving(shard);
            if (movable && moves.targets().hasAlternative(step, shard, server)) {
                moves.startMove(step, shard, Cause.OWNER_LEAVING, Optional.empty());
                moving++;
            }
        }
    }
}
