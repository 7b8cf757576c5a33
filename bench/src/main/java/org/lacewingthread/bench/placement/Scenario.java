package org.lacewingthread.bench.placement;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.LogRecord;

/** Events whose effect on placement is measured. */
enum Scenario {
    /** The busiest server of the first application stops answering. */
    SERVER_LOST(30, true) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor monitor, Customer customer) {
            ServerId server = busiestServer(monitor, customer);
            deployment.stopServer(server);
            return shardsOwnedBy(monitor, server);
        }
    },
    /** An operator drains the busiest server of the first application. */
    SERVER_DRAINED(30, true) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor monitor, Customer customer) {
            ServerId server = busiestServer(monitor, customer);
            deployment.appendAsOperator(new LogRecord.ServerDrainSet(server, true));
            return shardsOwnedBy(monitor, server);
        }
    },
    /** A server is added to the first application. */
    SERVER_JOINED(240, false) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor monitor, Customer customer) {
            deployment.publish(customer.configuration(1));
            return Set.of();
        }
    },
    /** An entry VM that is not a leader is lost. */
    ENTRY_VM_LOST(30, false) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor monitor, Customer customer) {
            return stopVm(deployment, monitor, false);
        }
    },
    /** The leader of a data centre, which also dispatches requests, is lost. */
    LEADER_LOST(30, false) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor monitor, Customer customer) {
            return stopVm(deployment, monitor, true);
        }
    },
    /** The log is unavailable for 20 s, and a server is lost 5 s after the start of the outage. */
    SERVER_LOST_LOG_OUT(60, true) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor monitor, Customer customer) {
            ServerId server = busiestServer(monitor, customer);
            deployment.logUnavailable = true;
            deployment.queue.scheduleAfter(5_000_000, () -> deployment.stopServer(server));
            deployment.queue.scheduleAfter(20_000_000, () -> deployment.logUnavailable = false);
            return shardsOwnedBy(monitor, server);
        }
    },
    /** A leader and a server of its data centre are lost at the same time. */
    LEADER_AND_SERVER_LOST(30, true) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor monitor, Customer customer) {
            ServerId server = busiestServer(monitor, customer);
            Set<ShardId> affected = new HashSet<>(shardsOwnedBy(monitor, server));
            deployment.stopServer(server);
            deployment.vms.stream()
                    .filter(v -> v.leads()
                            && v.identity
                                    .dataCentre()
                                    .equals(deployment.servers.get(server).spec.dataCentre()))
                    .findFirst()
                    .ifPresent(leader -> affected.addAll(stopVm(monitor, leader)));
            return affected;
        }
    },
    /** The 30 hottest keys of each application are replaced by other keys. */
    HOT_KEYS_CHANGED(300, false) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor monitor, Customer customer) {
            deployment.replaceHottestKeys(REPLACED_HOT_KEYS);
            return Set.of();
        }
    };

    private static final int REPLACED_HOT_KEYS = 30;

    final long durationSeconds;
    final boolean losesServer;

    Scenario(long durationSeconds, boolean losesServer) {
        this.durationSeconds = durationSeconds;
        this.losesServer = losesServer;
    }

    /** Triggers the event and returns the shards that it affects directly. */
    abstract Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor monitor, Customer customer);

    /** Returns the server that owns the most shards of the first application. */
    static ServerId busiestServer(ShardServiceMonitor monitor, Customer customer) {
        Map<ServerId, Long> counts = monitor.owners().entrySet().stream()
                .filter(e -> e.getKey().application().equals(customer.firstApplication))
                .collect(Collectors.groupingBy(Map.Entry::getValue, Collectors.counting()));
        return counts.entrySet().stream()
                .max(Map.Entry.<ServerId, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .orElseThrow()
                .getKey();
    }

    private static Set<ShardId> shardsOwnedBy(ShardServiceMonitor monitor, ServerId server) {
        return monitor.owners().entrySet().stream()
                .filter(e -> e.getValue().equals(server))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    private static Set<ShardId> stopVm(SimulatedDeployment deployment, ShardServiceMonitor monitor, boolean leader) {
        SimulatedEntryVm lost = deployment.vms.stream()
                .filter(v -> v.leads() == leader)
                .max(Comparator.comparing(SimulatedEntryVm::dispatchedServerCount)
                        .thenComparing(v -> v.identity.self()))
                .orElseThrow();
        return stopVm(monitor, lost);
    }

    private static Set<ShardId> stopVm(ShardServiceMonitor monitor, SimulatedEntryVm lost) {
        Set<ShardId> affected = monitor.owners().entrySet().stream()
                .filter(e -> lost.dispatchesFor(e.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        lost.up = false;
        return affected;
    }
}
