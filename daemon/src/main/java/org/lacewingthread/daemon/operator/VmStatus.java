package org.lacewingthread.daemon.operator;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.lease.EntryVmIdentity;
import org.lacewingthread.core.log.DataCentreState;

/**
 * State of one entry VM, returned as JSON by {@code /status} of the operator port.
 *
 * @param vm id of the VM
 * @param startNumber start number of its process
 * @param dataCentre id of its data centre
 * @param ready whether the VM serves callers
 * @param leaving whether the VM is handing over its work before it stops
 * @param appliedOffset offset of the newest log record that the VM applied, -1 before the first
 * @param configurationRevision revision of the configuration that the VM uses, -1 before the first
 * @param roster entry VMs of its data centre in order of succession
 * @param leader id of the VM that leads its data centre, empty if unknown
 * @param term term of the route plan, empty before the first plan
 * @param planVersion version of the route plan, -1 before the first plan
 * @param dispatchLeaseMillis remaining time of its dispatch lease, 0 if the lease has expired
 * @param servers state of the backend servers of its data centre, by server id
 */
public record VmStatus(
        String vm,
        long startNumber,
        String dataCentre,
        boolean ready,
        boolean leaving,
        long appliedOffset,
        long configurationRevision,
        List<String> roster,
        String leader,
        String term,
        long planVersion,
        long dispatchLeaseMillis,
        Map<String, ServerStatus> servers) {
    /**
     * State of one backend server.
     *
     * @param dispatcher id of the entry VM that sends requests to the server
     * @param shards number of shards that the server owns
     */
    public record ServerStatus(String dispatcher, long shards) {}

    /** Returns the status of a process that has not read the log yet. */
    public static VmStatus starting(EntryVmIdentity identity) {
        return new VmStatus(
                identity.self().vm().value(),
                identity.self().startNumber(),
                identity.dataCentre().value(),
                false,
                false,
                -1,
                -1,
                List.of(),
                "",
                "",
                -1,
                0,
                Map.of());
    }

    /**
     * Returns the status for a control view.
     *
     * @param view state of the control thread
     * @param nowMillis current time on the clock of the view's dispatch deadline
     */
    public static VmStatus of(ControlView view, long nowMillis) {
        DataCentreState dataCentre = view.state().dataCentre(view.dataCentre());
        return new VmStatus(
                view.self().vm().value(),
                view.self().startNumber(),
                view.dataCentre().value(),
                view.ready(),
                view.leaving(),
                view.state().appliedOffset().value(),
                view.state().configurationRevision().value(),
                dataCentre.members().stream()
                        .map(member -> member.start().toString())
                        .toList(),
                view.plan().map(plan -> plan.term().leader().vm().value()).orElse(""),
                view.plan().map(plan -> plan.term().toString()).orElse(""),
                view.plan().map(RoutePlan::version).orElse(-1L),
                Math.max(0, view.dispatchDeadlineMillis() - nowMillis),
                view.plan().map(VmStatus::servers).orElse(Map.of()));
    }

    private static Map<String, ServerStatus> servers(RoutePlan plan) {
        Map<String, Long> shards = plan.owners().values().stream()
                .collect(Collectors.groupingBy(owner -> owner.server().value(), Collectors.counting()));
        Map<String, ServerStatus> servers = new TreeMap<>();
        plan.dispatchers()
                .forEach((server, vm) -> servers.put(
                        server.value(), new ServerStatus(vm.vm().value(), shards.getOrDefault(server.value(), 0L))));
        return servers;
    }
}
