package org.lacewingthread.bench.placement;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.LogRecord;

/** Events whose cost is measured. */
enum Scenario {
    /** The busiest server of the first application stops answering. */
    SERVER_LOST(30, true) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor watch, Customer customer) {
            ServerId server = busiestServer(watch, customer);
            deployment.stopServer(server);
            return shardsOwnedBy(watch, server);
        }
    },
    /** An operator drains it. */
    SERVER_DRAINED(30, true) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor watch, Customer customer) {
            ServerId server = busiestServer(watch, customer);
            deployment.appendAsOperator(new LogRecord.ServerDrainSet(server, true));
            return shardsOwnedBy(watch, server);
        }
    },
    /** A server is added to the first application. */
    SERVER_JOINED(240, false) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor watch, Customer customer) {
            deployment.publish(customer.configuration(1));
            return Set.of();
        }
    },
    /** An entry VM that is not a leader is lost. */
    ENTRY_VM_LOST(30, false) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor watch, Customer customer) {
            return stopVm(deployment, watch, false);
        }
    },
    /** The leader of a data centre is lost; it dispatches as well. */
    LEADER_LOST(30, false) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor watch, Customer customer) {
            return stopVm(deployment, watch, true);
        }
    },
    /** The log is out for 20 s; a server is lost after 5 s of it. */
    SERVER_LOST_LOG_OUT(60, true) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor watch, Customer customer) {
            ServerId server = busiestServer(watch, customer);
            deployment.logUnavailable = true;
            deployment.queue.scheduleAfter(5_000_000, () -> deployment.stopServer(server));
            deployment.queue.scheduleAfter(20_000_000, () -> deployment.logUnavailable = false);
            return shardsOwnedBy(watch, server);
        }
    },
    /** A leader and a server of its data centre are lost together. */
    LEADER_AND_SERVER_LOST(30, true) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor watch, Customer customer) {
            ServerId server = busiestServer(watch, customer);
            Set<ShardId> affected = new HashSet<>(shardsOwnedBy(watch, server));
            deployment.stopServer(server);
            deployment.vms.stream()
                    .filter(v -> v.leads()
                            && v.identity
                                    .dataCentre()
                                    .equals(deployment.servers.get(server).spec.dataCentre()))
                    .findFirst()
                    .ifPresent(leader -> affected.addAll(stopVm(watch, leader)));
            return affected;
        }
    },
    /** The 30 hottest keys of each application change. */
    HOT_KEYS_CHANGED(300, false) {
        @Override
        Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor watch, Customer customer) {
            deployment.replaceHottestKeys(REPLACED_HOT_KEYS);
            return Set.of();
        }
    };

    private static final int REPLACED_HOT_KEYS = 30;

    final long durationSeconds;
    final boolean losesServer;

    Scenario(long lengthSeconds, boolean losesServer) {
        this.durationSeconds = lengthSeconds;
        this.losesServer = losesServer;
    }

    /** Makes it happen; returns the shards that are affected directly. */
    abstract Set<ShardId> apply(SimulatedDeployment deployment, ShardServiceMonitor watch, Customer customer);

    /** Returns the server of the first application with the most shards. */
    static ServerId busiestServer(ShardServiceMonitor watch, Customer customer) {
        Map<ServerId, Long> counts = watch.owners().entrySet().stream()
                .filter(e -> e.getKey().application().equals(customer.firstApplication))
                .collect(Collectors.groupingBy(Map.Entry::getValue, Collectors.counting()));
        return counts.entrySet().stream()
                .max(Map.Entry.<ServerId, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .orElseThrow()
                .getKey();
    }

    private static Set<ShardId> shardsOwnedBy(ShardServiceMonitor watch, ServerId server) {
        return watch.owners().entrySet().stream()
                .filter(e -> e.getValue().equals(server))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    private static Set<ShardId> stopVm(SimulatedDeployment deployment, ShardServiceMonitor watch, boolean leader) {
        SimulatedEntryVm lost = deployment.vms.stream()
                .filter(v -> v.leads() == leader)
                .max(Comparator.comparing(SimulatedEntryVm::dispatchedServerCount)
                        .thenComparing(v -> v.identity.self()))
                .orElseThrow();
        return stopVm(watch, lost);
    }

    private static Set<ShardId> stopVm(ShardServiceMonitor watch, SimulatedEntryVm lost) {
        Set<ShardId> affected = watch.owners().entrySet().stream()
                .filter(e -> lost.dispatchesFor(e.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        lost.up = false;
        return affected;
    }
}
