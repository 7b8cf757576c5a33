package org.lacewingthread.core.log;

import java.util.HashSet;
import java.util.Set;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.VmId;

/** Applies the start and end of drains of backend servers and entry VMs. */
final class DrainApplier {
    /** Number of draining VMs above which those that are in no roster are dropped. */
    private static final int DRAINING_VM_PRUNE_THRESHOLD = 1024;

    private DrainApplier() {}

    static ReplicaState drainServer(ReplicaState state, LogRecord.ServerDrainSet record)
            throws RejectedRecordException {
        if (record.draining() && state.server(record.server()) == null) {
            throw RejectedRecordException.conflict("server \"" + record.server() + "\" is not configured");
        }
        Set<ServerId> servers = new HashSet<>(state.drainingServers());
        setMembership(servers, record.server(), record.draining());
        return state.withDraining(servers, state.drainingVms());
    }

    static ReplicaState drainVm(ReplicaState state, LogRecord.VmDrainSet record) throws RejectedRecordException {
        if (record.draining() && !isInRoster(state, record.vm())) {
            throw RejectedRecordException.conflict("VM \"" + record.vm() + "\" is in no roster");
        }
        Set<VmId> vms = new HashSet<>(state.drainingVms());
        setMembership(vms, record.vm(), record.draining());
        if (vms.size() > DRAINING_VM_PRUNE_THRESHOLD) {
            vms.removeIf(vm -> !isInRoster(state, vm));
        }
        return state.withDraining(state.drainingServers(), vms);
    }

    private static <T> void setMembership(Set<T> set, T element, boolean member) {
        if (member) {
            set.add(element);
        } else {
            set.remove(element);
        }
    }

    private static boolean isInRoster(ReplicaState state, VmId vm) {
        return state.dataCentres().values().stream()
                .flatMap(dataCentre -> dataCentre.members().stream())
                .anyMatch(member -> member.start().vm().equals(vm));
    }
}
