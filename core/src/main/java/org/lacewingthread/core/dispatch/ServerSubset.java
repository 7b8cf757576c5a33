package org.lacewingthread.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.placement.Rendezvous;

/**
 * The servers of an unkeyed service that this entry VM prefers. With many VMs and servers, each VM would know each server by
 * figures that are seconds old, and all would choose the same one; within a subset the figures are recent. The choice is by
 * rendezvous hashing, so that a server that comes or goes moves one place of a few VMs' subsets.
 */
final class ServerSubset {
    /** Smallest subset; fewer servers leave no choice while some of them are slow. */
    private static final int MIN_SERVERS = 6;
    /** Requests that a server of the subset gets from this VM each second, if all VMs use their subsets fully. */
    private static final double REQUESTS_PER_SECOND = 1;
    /** Weight of servers in the own data centre; not more, since data centres have uneven numbers of VMs. */
    private static final double LOCAL_WEIGHT = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final DataCentreId dataCentre;
    private final long vmHash;
    private final Map<ServerId, Double> scores = new HashMap<>();
    private int entryVmCount = 1;

    /**
     * Creates the subset of one entry VM.
     *
     * @param dataCentre data centre of the VM
     * @param vmHash number that differs between VMs
     */
    ServerSubset(DataCentreId dataCentre, long vmHash) {
        this.dataCentre = dataCentre;
        this.vmHash = vmHash;
    }

    void setEntryVmCount(int count) {
        entryVmCount = count;
    }

    /** Returns the preferred ones of some servers of one service; all of them if the VMs or servers are few. */
    List<ServerLoadState> of(List<ServerLoadState> servers) {
        if (entryVmCount < ServerLoadState.MANY_ENTRY_VMS) {
            return servers;
        }
        double perSecond = MILLIS_PER_SECOND
                * servers.stream()
                        .mapToDouble(state -> state.entry().slots() / state.serviceMillis())
                        .sum();
        int size = Math.max(MIN_SERVERS, (int) Math.ceil(perSecond / REQUESTS_PER_SECOND / entryVmCount));
        return size >= servers.size()
                ? servers
                : servers.stream()
                        .sorted(Comparator.comparingDouble(this::score).reversed())
                        .limit(size)
                        .toList();
    }

    private double score(ServerLoadState state) {
        ServerId server = state.entry().start().server();
        double weight = state.entry().dataCentre().equals(dataCentre) ? LOCAL_WEIGHT : 1;
        return scores.computeIfAbsent(
                server, id -> Rendezvous.weightedScore(vmHash, Rendezvous.hash(id.value()), weight));
    }

    /** Forgets the servers that are no longer known. */
    void retain(Collection<ServerId> known) {
        scores.keySet().retainAll(known);
    }
}
