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
 * Coordinates ownership by leases: each shard has one owner in the plan, each backend server one
 * dispatcher, and each server that checks tokens one lease for all its shards.
 *
 * <pre>{@code
 * OwnershipCoordinator coordinator = new LeaseOwnershipCoordinator(settings);
 * OwnershipStep step = coordinator.step(inputs, nowMillis);
 * // hand out step.plan(), append step.records(), send step.orders(), audit step.notes()
 * coordinator.orderAnswered(server, sequence, true, nowMillis);
 * }</pre>
 *
 * <p>The decisions are divided over {@link Takeover} (what earlier leaders left behind),
 * {@link DispatcherAssignment}, {@link ShardSurvey} (shards that nobody serves), {@link ShardMoves},
 * {@link ServerLeases}, {@link AssignmentRecorder}, {@link LoadBalance}, {@link HotKeys} and
 * {@link DataCentreExit}.
 */
public final class LeaseOwnershipCoordinator implements OwnershipCoordinator {
    private static final int MIN_LEAVING_SHARDS = 4;
    private static final int LEAVING_DIVISOR = 8;

    private final ControlSettings settings;
    private final Set<SafetyRule> rules;
    private final ServerLeases leases;
    private final ServerDirectory directory;
    private final AssignmentRecorder recorder;
    private PlanDraft draft;
    private DispatcherAssignment dispatchers;
    private ShardMoves moves;
    private Takeover takeover;
    private ShardSurvey survey;
    private SplitShards splits;
    private LoadBalance balance;
    private HotKeys hotKeys;
    private DataCentreExit exit;

    /** Starts a term in which nothing is known yet. */
    public LeaseOwnershipCoordinator(ControlSettings settings) {
        this(settings, EnumSet.allOf(SafetyRule.class));
    }

    LeaseOwnershipCoordinator(ControlSettings settings, Set<SafetyRule> rules) {
        this.settings = settings;
        this.rules = rules;
        this.leases = new ServerLeases(settings, rules);
        this.directory = new ServerDirectory(leases::seemsLost);
        this.recorder = new AssignmentRecorder(rules);
    }

    @Override
    public OwnershipStep step(OwnershipInputs inputs, long nowMillis) {
        if (draft == null) {
            start(inputs);
        }
        Step step = Step.of(inputs, settings, nowMillis);
        directory.refresh(step);
        moves.targets().refresh();
        splits.refresh(step);
        takeover.step(step);
        leases.takeRefused().forEach(shard -> moves.renewToken(step, shard));
        draft.owningServers().forEach(server -> leaveServer(step, server));
        survey.step(step);
        balance.step(step);
        dispatchers.step(step, directory.servers(), takeover.isOver(step));
        moves.advance(step);
        List<LogRecord> records = new ArrayList<>(recorder.records(step));
        if (!recorder.hasOverdue()) {
            records.addAll(hotKeys.step(step));
            records.addAll(exit.step(step));
        }
        List<ServerOrder> orders = leases.orders(directory::answers, nowMillis);
        Optional<RoutePlan> plan = draft.take();
        return new OwnershipStep(plan, records, orders, step.notes());
    }

    @Override
    public void orderAnswered(ServerId server, long sequence, boolean accepted, long nowMillis) {
        leases.answered(server, sequence, accepted, nowMillis);
    }

    @Override
    public void orderFailed(ServerId server, long sequence, long nowMillis) {
        leases.failed(server, sequence, nowMillis);
    }

    private void start(OwnershipInputs inputs) {
        draft = new PlanDraft(inputs.term());
        dispatchers = new DispatcherAssignment(draft, rules);
        splits = new SplitShards(draft);
        moves = new ShardMoves(draft, directory, leases, dispatchers, recorder, splits, rules);
        takeover = new Takeover(draft, directory, leases, moves, settings, rules);
        balance = new LoadBalance(draft, directory, moves);
        hotKeys = new HotKeys(draft, directory, moves, splits);
        exit = new DataCentreExit(draft, directory, moves);
        survey = new ShardSurvey(draft, directory, moves, takeover, settings);
    }

    /** Starts to move shards off a server that is lost or has to leave. */
    private void leaveServer(Step step, ServerId server) {
        if (directory.isLost(server)) {
            for (ShardId shard : draft.shardsOf(server)) {
                if (moves.targets().hasAlternative(step, shard, server)) {
                    moves.move(step, shard, Cause.OWNER_LOST, Optional.empty());
                }
            }
            return;
        }
        for (ApplicationSpec application : directory.applications()) {
            if (directory.mustLeave(server, application.id())) {
                leaveInGoodOrder(step, server, application);
            }
        }
    }

    private void leaveInGoodOrder(Step step, ServerId server, ApplicationSpec application) {
        int limit = Math.max(MIN_LEAVING_SHARDS, draft.shardCountOf(server) / LEAVING_DIVISOR);
        long moving = moves.countFrom(server);
        for (ShardId shard : draft.shardsOf(server)) {
            if (moving >= limit) {
                return;
            }
            boolean due = shard.application().equals(application.id()) && !moves.isMoving(shard);
            if (due && moves.targets().hasAlternative(step, shard, server)) {
                moves.move(step, shard, Cause.OWNER_LEAVING, Optional.empty());
                moving++;
            }
        }
    }
}
