package org.lacewingthread.core.ownership;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ShardAssignment;

/** Checks a leader's plans and records against the log and adds violations to a set. */
final class PlanChecker {
    private static final Pattern PROVISIONAL_STEP =
            Pattern.compile("shard (.*)/(\\d+) goes from .* to (\\S+) along its failover list under token (\\S+)");

    private final FakeLog log;
    private final Set<String> violations;
    private final Set<String> checkAppended = new TreeSet<>();
    private final Set<String> provisional = new TreeSet<>();
    private final Set<Integer> keysWithBase = new TreeSet<>();

    PlanChecker(FakeLog log, Set<String> violations) {
        this.log = log;
        this.violations = violations;
    }

    /** Checks that each new owner is recorded, reported by a VM, or follows the failover list without a log. */
    void checkPlanChange(RoutePlan before, RoutePlan newest, Collection<Optional<RoutePlan>> reportedPlans) {
        checkSplitKeys(newest);
        newest.owners().forEach((shard, owner) -> {
            boolean unchanged = before != null && owner.equals(before.owners().get(shard));
            boolean reported = reportedPlans.stream()
                    .flatMap(Optional::stream)
                    .anyMatch(p -> owner.equals(p.owners().get(shard)));
            if (!unchanged && !reported && !isRecorded(shard, owner) && !provisional.contains(shard + " " + owner)) {
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

    /** Checks that a provisional move goes to the recorded owner or to a server of the recorded failover list. */
    void checkProvisionalStep(String note) {
        Matcher step = PROVISIONAL_STEP.matcher(note);
        if (!step.matches()) {
            violations.add("a note that is no provisional step");
            return;
        }
        ShardId shard = new ShardId(new ApplicationId(step.group(1)), Integer.parseInt(step.group(2)));
        ServerId server = new ServerId(step.group(3));
        ShardAssignment recorded = log.recorded(shard);
        if (!recorded.owner().equals(server) && !recorded.failover().contains(server)) {
            violations.add("a provisional step off the failover list");
        }
        provisional.add(shard + " " + new RoutePlan.Ownership(server, FencingToken.parse(step.group(4))));
    }

    /** Checks that a split key leaves the owner of its base shard only after a plan without the base shard. */
    private void checkSplitKeys(RoutePlan plan) {
        log.table(OwnershipSimulation.LEDGER).splitKeys().forEach((hash, index) -> {
            ServerId base = ownerOf(plan, (int) (hash & (OwnershipSimulation.SHARDS - 1)));
            ServerId split = ownerOf(plan, index);
            if (base == null) {
                keysWithBase.remove(index);
            } else if (base.equals(split)) {
                keysWithBase.add(index);
            } else if (split != null && keysWithBase.contains(index)) {
                violations.add("a split-out key parts from its shard at once");
            }
        });
    }

    private static ServerId ownerOf(RoutePlan plan, int index) {
        return plan.ownerOf(new ShardId(OwnershipSimulation.LEDGER, index))
                .map(RoutePlan.Ownership::server)
                .orElse(null);
    }

    /** Forgets the appended assignments, because they may have been lost. */
    void logUnreachable() {
        checkAppended.clear();
    }

    /** Checks that assignments in use without a record are appended before those not yet in use. */
    void checkAppended(LogRecord.AssignmentsRecorded record, RoutePlan plan) {
        record.assignments().forEach(a -> checkAppended.add(a.shard() + " " + a.token()));
        boolean notInUse = record.assignments().stream().anyMatch(a -> !isInUse(a, plan));
        boolean unrecordedInUse = plan != null
                && plan.owners().entrySet().stream()
                        .anyMatch(e -> log.isNewer(e.getKey(), e.getValue().token())
                                && !checkAppended.contains(
                                        e.getKey() + " " + e.getValue().token()));
        if (notInUse && unrecordedInUse) {
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
