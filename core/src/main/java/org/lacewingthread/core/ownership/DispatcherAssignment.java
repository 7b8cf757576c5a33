package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.placement.Rendezvous;

/**
 * Assigns to each backend server the entry VM that dispatches for it, by rendezvous hashing with a bound
 * on the number of servers per VM. A dispatcher changes only when it fails or leaves, or when rebalancing
 * gives a server to a VM that has fewer.
 */
final class DispatcherAssignment {
    private static final long BALANCE_INTERVAL_MILLIS = 2_000;

    private final PlanDraft draft;
    private final Set<SafetyRule> rules;
    private final Map<ServerId, OutgoingDispatcher> outgoingDispatchers = new TreeMap<>();
    private long nextBalanceMillis = Long.MIN_VALUE;

    /**
     * A removed dispatcher that must have stopped dispatching before the server gets another one.
     *
     * @param vm the entry VM
     * @param planVersion version of the first plan without it
     */
    record OutgoingDispatcher(VmStart vm, long planVersion) {
        boolean hasStopped(StepContext step) {
            return step.inputs().dispatcherStatus().hasStoppedUsingPlansBefore(vm, planVersion, step.nowMillis());
        }
    }

    DispatcherAssignment(PlanDraft draft, Set<SafetyRule> rules) {
        this.draft = draft;
        this.rules = rules;
    }

    /** Returns the VMs that may still send to a server when the plan under construction takes effect. */
    List<OutgoingDispatcher> dispatchersToAwait(ServerId server) {
        List<OutgoingDispatcher> result = new ArrayList<>();
        Optional.ofNullable(outgoingDispatchers.get(server)).ifPresent(result::add);
        draft.dispatcherOf(server).ifPresent(vm -> result.add(new OutgoingDispatcher(vm, draft.version())));
        return result;
    }

    /**
     * Replaces lost or leaving dispatchers and moves servers between VMs for balance.
     *
     * @param mayAssign whether servers without a dispatcher may get one
     */
    void step(StepContext step, List<ServerSpec> servers, boolean mayAssign) {
        Set<VmStart> members = new HashSet<>(step.inputs().eligibleDispatchers());
        if (!members.isEmpty()) {
            draft.serversWithDispatcher().stream()
                    .filter(s -> !members.contains(draft.dispatcherOf(s).orElseThrow()))
                    .sorted()
                    .toList()
                    .forEach(s -> remove(s, draft.dispatcherOf(s).orElseThrow()));
        }
        outgoingDispatchers
                .values()
                .removeIf(d -> !rules.contains(SafetyRule.WAIT_FOR_DISPATCHER) || d.hasStopped(step));
        boolean complete =
                servers.stream().allMatch(s -> draft.dispatcherOf(s.id()).isPresent());
        boolean balanceDue = step.nowMillis() >= nextBalanceMillis;
        if (!mayAssign || members.isEmpty() || (complete && !balanceDue)) {
            return;
        }
        Map<VmStart, Integer> counts = serverCounts(step.inputs().eligibleDispatchers());
        for (ServerSpec server : servers) {
            if (draft.dispatcherOf(server.id()).isEmpty() && !outgoingDispatchers.containsKey(server.id())) {
                VmStart vm = chooseDispatcher(server.id(), counts, servers.size());
                draft.setDispatcher(server.id(), vm);
                counts.merge(vm, 1, Integer::sum);
            }
        }
        rebalance(step, counts);
    }

    private Map<ServerId, VmStart> dispatchersByServer() {
        Map<ServerId, VmStart> result = new HashMap<>();
        draft.serversWithDispatcher()
                .forEach(s -> result.put(s, draft.dispatcherOf(s).orElseThrow()));
        return result;
    }

    private void remove(ServerId server, VmStart vm) {
        outgoingDispatchers.put(server, new OutgoingDispatcher(vm, draft.version()));
        draft.removeDispatcher(server);
    }

    private Map<VmStart, Integer> serverCounts(List<VmStart> members) {
        Map<VmStart, Integer> counts = new TreeMap<>();
        members.forEach(m -> counts.put(m, 0));
        dispatchersByServer().values().forEach(vm -> counts.computeIfPresent(vm, (k, n) -> n + 1));
        return counts;
    }

    /**
     * Returns the highest-ranked VM below the lower bound on servers per VM, else the highest-ranked one below
     * the upper bound, else the VM with the fewest servers.
     */
    private static VmStart chooseDispatcher(ServerId server, Map<VmStart, Integer> counts, int servers) {
        int lowerBound = servers / counts.size();
        int upperBound = (servers + counts.size() - 1) / counts.size();
        return highestRankedBelow(server, counts, lowerBound)
                .or(() -> highestRankedBelow(server, counts, upperBound))
                .orElseGet(() -> counts.keySet().stream()
                        .min(Comparator.comparing(counts::get))
                        .orElseThrow());
    }

    private static Optional<VmStart> highestRankedBelow(ServerId server, Map<VmStart, Integer> counts, int bound) {
        long key = Rendezvous.hash(server.value());
        return counts.keySet().stream()
                .filter(vm -> counts.get(vm) < bound)
                .max(Comparator.comparingDouble(vm -> Rendezvous.weightedScore(key, hash(vm), 1)));
    }

    private static long hash(VmStart vm) {
        return Rendezvous.score(Rendezvous.hash(vm.vm().value()), vm.startNumber());
    }

    /** Removes the dispatcher of one server of the VM with the most servers if another VM has at least two fewer. */
    private void rebalance(StepContext step, Map<VmStart, Integer> counts) {
        VmStart most =
                counts.keySet().stream().max(Comparator.comparing(counts::get)).orElseThrow();
        VmStart least =
                counts.keySet().stream().min(Comparator.comparing(counts::get)).orElseThrow();
        if (step.nowMillis() < nextBalanceMillis) {
            return;
        }
        nextBalanceMillis = step.nowMillis() + BALANCE_INTERVAL_MILLIS;
        if (counts.get(most) - counts.get(least) < 2) {
            return;
        }
        dispatchersByServer().entrySet().stream()
                .filter(e -> e.getValue().equals(most))
                .map(Map.Entry::getKey)
                .max(Comparator.comparingDouble(
                        s -> Rendezvous.weightedScore(Rendezvous.hash(s.value()), hash(least), 1)))
                .ifPresent(server -> remove(server, most));
    }
}
