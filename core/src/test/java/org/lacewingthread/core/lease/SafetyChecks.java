package org.lacewingthread.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.ShardTable;

/** Safety invariants of a simulated run, checked against the simulation time instead of the clocks of the VMs. */
final class SafetyChecks {
    final List<String> violations = new ArrayList<>();
    private final SimulatedGroup group;
    private final Map<ShardId, FencingToken> acknowledgedTokens = new HashMap<>();
    private final LogReplica referenceReplica = new LogReplica();
    private Term highestTerm;

    SafetyChecks(SimulatedGroup group) {
        this.group = group;
    }

    void check() {
        checkLeaders();
        checkDispatchers();
    }

    private void checkLeaders() {
        List<Term> leading =
                group.vms.stream().flatMap(v -> v.leadingTerm().stream()).toList();
        if (leading.size() > 1) {
            addViolation("two leaders " + leading);
        }
        for (Term term : leading) {
            if (highestTerm != null && highestTerm.isAfter(term)) {
                addViolation("term " + term + " leads after " + highestTerm);
            }
            highestTerm = term;
        }
    }

    private void checkDispatchers() {
        Map<ServerId, SimulatedVm> dispatchers = new HashMap<>();
        Map<ShardId, ServerId> owners = new HashMap<>();
        for (SimulatedVm vm : group.vms) {
            vm.permittedPlan().ifPresent(plan -> {
                for (ServerId server : plan.dispatchers().keySet()) {
                    if (vm.dispatchesFor(server)) {
                        SimulatedVm other = dispatchers.put(server, vm);
                        if (other != null) {
                            addViolation("server " + server + " has dispatchers " + vm.name + " and " + other.name);
                        }
                    }
                }
                plan.owners().forEach((shard, owner) -> {
                    if (vm.dispatchesFor(owner.server())) {
                        ServerId other = owners.put(shard, owner.server());
                        if (other != null && !other.equals(owner.server())) {
                            addViolation("shard " + shard + " has owners " + owner.server() + " and " + other);
                        }
                    }
                });
            });
        }
    }

    /**
     * Checks that no request of the shard may still start or run at another server, and that no assignment is used
     * again after a later recorded one was used.
     */
    void checkRequest(SimulatedVm sender, ShardId shard, RoutePlan.Ownership owner) {
        ServerId server = owner.server();
        FencingToken acknowledged = acknowledgedTokens.get(shard);
        if (acknowledged != null && acknowledged.compareTo(owner.token()) > 0) {
            addViolation("shard " + shard + " is sent to " + server + " under token " + owner.token() + " after "
                    + acknowledged);
        } else if (isRecorded(shard, owner)) {
            acknowledgedTokens.put(shard, owner.token());
        }
        for (SimulatedVm vm : group.vms) {
            Optional.ofNullable(vm.inFlight.get(shard))
                    .filter(r ->
                            r.endMicros() > group.nowMicros() && !r.server().equals(server))
                    .ifPresent(r -> addViolation("shard " + shard + " runs at " + r.server() + " through " + vm.name
                            + " when " + sender.name + " sends to " + server));
        }
    }

    /** Returns whether the ownership is the newest recorded assignment of the shard. */
    boolean isRecorded(ShardId shard, RoutePlan.Ownership owner) {
        int next = (int) referenceReplica.nextOffset().value();
        group.log.entries().subList(next, group.log.size()).forEach(referenceReplica::apply);
        ShardTable table = referenceReplica.state().shardTable(shard.application());
        ShardTable.Entry entry = table == null ? null : table.entries().get(shard.index());
        return entry != null
                && entry.assignment() != null
                && entry.assignment().owner().equals(owner.server())
                && entry.assignment().token().equals(owner.token());
    }

    /** Checks that a published view is not older than the one before in any of its parts. */
    void checkMonotonic(SimulatedVm vm, ControlView before, ControlView after) {
        if (before == null) {
            return;
        }
        ReplicaState old = before.state();
        ReplicaState current = after.state();
        LogOffset oldRoster = old.dataCentre(SimulatedGroup.MARAS).rosterRevision();
        LogOffset newRoster = current.dataCentre(SimulatedGroup.MARAS).rosterRevision();
        boolean planGoesBack = before.plan()
                .filter(p -> after.plan().isEmpty() || p.supersedes(after.plan().get()))
                .isPresent();
        boolean goesBack = planGoesBack
                || old.appliedOffset().isAfter(current.appliedOffset())
                || old.configurationRevision().isAfter(current.configurationRevision())
                || oldRoster.isAfter(newRoster)
                || (before.ready() && !after.ready());
        if (goesBack) {
            addViolation("view " + after.number() + " of " + vm.name + " goes back");
        }
    }

    void addViolation(String what) {
        violations.add("at " + group.nowMillis() + " ms: " + what);
    }
}
