package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;

/** Entry VM: the plans under which it may send requests, and what the leader knows about them. */
final class FakeVm {
    final VmStart start;
    boolean up = true;
    boolean reachable = true;
    private final ControlSettings settings;
    private RoutePlan plan;
    private final List<SupersededPlan> supersededPlans = new ArrayList<>();
    private long drainEndMillis;
    private long actsUntilMillis;
    private boolean replyDelivered;
    private long confirmedVersion = -1;
    private long lastPossibleEndMillis;

    /** A replaced plan under which requests are still in flight. */
    private record SupersededPlan(RoutePlan plan, long untilMillis) {}

    FakeVm(VmStart start, ControlSettings settings) {
        this.start = start;
        this.settings = settings;
    }

    /** Delivers a heartbeat with a plan. The VM's lease starts now; the leader assumes a later expiry than the VM. */
    void heartbeat(RoutePlan newest, long nowMillis, long drainMillis, boolean replyLost) {
        if (plan == null || newest.supersedes(plan)) {
            drainEndMillis = Math.max(drainEndMillis, nowMillis + drainMillis);
            supersededPlans.removeIf(d -> d.untilMillis() <= nowMillis);
            if (plan != null && nowMillis < actsUntilMillis) {
                supersededPlans.add(new SupersededPlan(plan, nowMillis + drainMillis));
            }
            plan = newest;
        }
        replyDelivered = !replyLost;
        actsUntilMillis =
                nowMillis + settings.shortenedByClockMargin(settings.dispatchLeaseMillis()) + settings.startByMillis();
        lastPossibleEndMillis =
                nowMillis + settings.lengthenedByClockMargin(settings.dispatchLeaseMillis()) + settings.startByMillis();
        if (replyDelivered) {
            confirmedVersion = plan.version();
        }
    }

    /** Resets what the leader knows: a new leader assumes that leases of its predecessor last until this time. */
    void leaderChanged(long predecessorEndMillis) {
        confirmedVersion = -1;
        lastPossibleEndMillis = predecessorEndMillis;
    }

    /** Returns whether the leader knows that the VM sends nothing under plans older than a version. */
    boolean hasStoppedUsingPlansBefore(long version, long nowMillis) {
        boolean applied = confirmedVersion >= version && nowMillis >= drainEndMillis;
        return applied || nowMillis >= lastPossibleEndMillis;
    }

    /** Returns the plan of an earlier term under which the VM may still send. */
    Optional<RoutePlan> reportedPlan(long nowMillis) {
        return nowMillis < actsUntilMillis - settings.startByMillis() ? Optional.ofNullable(plan) : Optional.empty();
    }

    /** Returns whether the VM may dispatch requests for a shard under its current plan. */
    boolean mayServe(ShardId shard, long nowMillis) {
        return up
                && nowMillis < actsUntilMillis - settings.startByMillis()
                && plan != null
                && plan.ownerOf(shard)
                        .filter(o -> start.equals(plan.dispatchers().get(o.server())))
                        .isPresent();
    }

    /** Visits each shard and server for which this VM may still have requests in effect, even while it is down. */
    void forEachActiveDispatch(long nowMillis, DispatchVisitor acting) {
        if (nowMillis < actsUntilMillis) {
            visit(plan, acting);
        }
        supersededPlans.stream().filter(d -> nowMillis < d.untilMillis()).forEach(d -> visit(d.plan(), acting));
    }

    private void visit(RoutePlan visited, DispatchVisitor acting) {
        if (visited != null) {
            visited.owners().forEach((shard, owner) -> {
                if (start.equals(visited.dispatchers().get(owner.server()))) {
                    acting.accept(shard, owner.server(), start);
                }
            });
        }
    }

    interface DispatchVisitor {
        void accept(ShardId shard, ServerId server, VmStart vm);
    }
}
