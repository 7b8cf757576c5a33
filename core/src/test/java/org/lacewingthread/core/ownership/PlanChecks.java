package org.lacewingthread.core.ownership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ShardAssignment;

/** Checks plans and records of a leader against the log. */
final class PlanChecks {
    private final FakeLog log;
    private final Set<String> violations;
    private final Set<String> appended = new TreeSet<>();
    private final Set<Integer> together = new TreeSet<>();

    PlanChecks(FakeLog log, Set<String> violations) {
        this.log = log;
        this.violations = violations;
    }

    /** An owner that is new in this term is recorded, or steps along the failover list while the log is out. */
    void changed(RoutePlan before, RoutePlan newest, Collection<Optional<RoutePlan>> held, List<String> notes) {
        checkSplitKeys(newest);
        newest.owners().forEach((shard, owner) -> {
            boolean known = before != null && owner.equals(before.owners().get(shard));
            boolean kept = held.stream()
                    .flatMap(Optional::stream)
                    .anyMatch(p -> owner.equals(p.owners().get(shard)));
            if (!known && !kept && !isRecorded(shard, owner) && !isProvisional(shard, owner, notes)) {
                violations.add("an assignment is used before it is recorded");
            }
        });
    }

    private boolean isRecorded(ShardId shard, RoutePlan.Ownership owner) {
        ShardAssignment recorded = log.recorded(shard);
        return recorded != null
                && recorded.owner().equals(owner.server())
                && recorded.token().equals(owner.token());
    }

    private boolean isProvisional(ShardId shard, RoutePlan.Ownership owner, List<String> notes) {
        ShardAssignment recorded = log.recorded(shard);
        boolean allowed = recorded != null
                && (recorded.owner().equals(owner.server())
                        || recorded.failover().contains(owner.server()));
        String start = "shard " + shard + " ";
        String end = " " + owner.token();
        return allowed && notes.stream().anyMatch(n -> n.startsWith(start) && n.endsWith(end));
    }

    /** A key that was together with its shard is apart only after a plan without the shard. */
    private void checkSplitKeys(RoutePlan plan) {
        log.table(OwnershipWorld.LEDGER).splitKeys().forEach((hash, index) -> {
            ServerId base = ownerOf(plan, (int) (hash & (OwnershipWorld.SHARDS - 1)));
            ServerId split = ownerOf(plan, index);
            if (base == null) {
                together.remove(index);
            } else if (base.equals(split)) {
                together.add(index);
            } else if (split != null && together.contains(index)) {
                violations.add("a split-out key parts from its shard at once");
            }
        });
    }

    private static ServerId ownerOf(RoutePlan plan, int index) {
        return plan.ownerOf(new ShardId(OwnershipWorld.LEDGER, index))
                .map(RoutePlan.Ownership::server)
                .orElse(null);
    }

    void logOut() {
        appended.clear();
    }

    /** What is in use without a record goes before what is not in use yet. */
    void appended(LogRecord.AssignmentsRecorded record, RoutePlan plan) {
        record.assignments().forEach(a -> appended.add(a.shard() + " " + a.token()));
        boolean others = record.assignments().stream().anyMatch(a -> !isInUse(a, plan));
        boolean overdue = plan != null
                && plan.owners().entrySet().stream()
                        .anyMatch(e -> log.isNewer(e.getKey(), e.getValue().token())
                                && !appended.contains(
                                        e.getKey() + " " + e.getValue().token()));
        if (others && overdue) {
            violations.add("a record before those of provisional steps");
        }
    }

    private static boolean isInUse(ShardAssignment assignment, RoutePlan plan) {
        return plan != null
                && plan.ownerOf(assignment.shard())
                        .filter(o -> o.token().equals(assignment.token()))
                        .isPresent();
    }
}
