package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;

/** An entry VM: what it may send, and what the leader knows of that. */
final class FakeVm {
    final VmStart start;
    boolean up = true;
    boolean reachable = true;
    private final ControlSettings settings;
    private RoutePlan plan;
    private final List<Draining> draining = new ArrayList<>();
    private long drainedAtMillis;
    private long actsUntilMillis;
    private boolean confirmed;
    private long confirmedVersion = -1;
    private long possibleEndMillis;

    /** A replaced plan under which requests are still in flight. */
    private record Draining(RoutePlan plan, long untilMillis) {}

    FakeVm(VmStart start, ControlSettings settings) {
        this.start = start;
        this.settings = settings;
    }

    /** The VM hears the leader; its lease runs from now, and the leader counts it longer. */
    void heartbeat(RoutePlan newest, long nowMillis, long drainMillis, boolean replyLost) {
        if (plan == null || newest.supersedes(plan)) {
            drainedAtMillis = Math.max(drainedAtMillis, nowMillis + drainMillis);
            draining.removeIf(d -> d.untilMillis() <= nowMillis);
            if (plan != null && nowMillis < actsUntilMillis) {
                draining.add(new Draining(plan, nowMillis + drainMillis));
            }
            plan = newest;
        }
        confirmed = !replyLost;
        actsUntilMillis =
                nowMillis + settings.shortenedByClockMargin(settings.dispatchLeaseMillis()) + settings.startByMillis();
        possibleEndMillis =
                nowMillis + settings.lengthenedByClockMargin(settings.dispatchLeaseMillis()) + settings.startByMillis();
        if (confirmed) {
            confirmedVersion = plan.version();
        }
    }

    /** A new leader counts the leases of the one before until they surely ended. */
    void newLeader(long predecessorEndMillis) {
        confirmedVersion = -1;
        possibleEndMillis = predecessorEndMillis;
    }

    boolean hasLeft(long version, long nowMillis) {
        boolean applied = confirmedVersion >= version && nowMillis >= drainedAtMillis;
        return applied || nowMillis >= possibleEndMillis;
    }

    /** Returns the plan of an earlier term under which the VM may still send. */
    Optional<RoutePlan> held(long nowMillis) {
        return nowMillis < actsUntilMillis - settings.startByMillis() ? Optional.ofNullable(plan) : Optional.empty();
    }

    boolean mayServe(ShardId shard, long nowMillis) {
        return up
                && nowMillis < actsUntilMillis - settings.startByMillis()
                && plan != null
                && plan.ownerOf(shard)
                        .filter(o -> start.equals(plan.dispatchers().get(o.server())))
                        .isPresent();
    }

    /** Calls back for everything that this VM, lost or not, may still make a server do. */
    void forEachActing(long nowMillis, Acting acting) {
        if (nowMillis < actsUntilMillis) {
            visit(plan, acting);
        }
        draining.stream().filter(d -> nowMillis < d.untilMillis()).forEach(d -> visit(d.plan(), acting));
    }

    private void visit(RoutePlan visited, Acting acting) {
        if (visited != null) {
            visited.owners().forEach((shard, owner) -> {
                if (start.equals(visited.dispatchers().get(owner.server()))) {
                    acting.accept(shard, owner.server(), start);
                }
            });
        }
    }

    interface Acting {
        void accept(ShardId shard, ServerId server, VmStart vm);
    }
}
