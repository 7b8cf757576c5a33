package org.lacewingthread.core.lease;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.lacewingthread.core.id.ServerId;

/** One random run: entry VMs under faults, then a quiet time in which they must recover. */
final class LeaseHistory {
    private static final long RUN_MILLIS = 20_000;
    private static final long RECOVERY_MILLIS = 30_000;
    private static final double CLOCK_RATE_SPREAD = 0.02;

    final SimulatedGroup group;
    long leaderlessMillis;

    LeaseHistory(long seed, Set<ProtocolRule> rules) {
        this(seed, rules, 0);
    }

    /** Creates a run whose ownership is decided as in production if there are servers. */
    LeaseHistory(long seed, Set<ProtocolRule> rules, int servers) {
        group = new SimulatedGroup(seed);
        if (servers > 0) {
            group.servers = new SimulatedServers(group, servers);
        }
        group.rules = rules;
        int vms = 1 + group.random.nextInt(5);
        for (int i = 0; i < vms; i++) {
            double rate = 1 + CLOCK_RATE_SPREAD * (group.random.nextDouble() - 0.5);
            group.schedule(group.random.nextInt(2_000_000), startAction("maras-" + i, rate));
        }
    }

    private Runnable startAction(String name, double rate) {
        return () -> group.start(name, rate);
    }

    /** Runs with faults at random times; stops at the first violation. */
    List<String> runRandomly() {
        Random random = group.random;
        while (group.nowMillis() < RUN_MILLIS && group.checks.violations.isEmpty()) {
            runFor(random.nextInt(900));
            Fault.random(random).begin(group);
            if (group.servers != null && random.nextInt(4) == 0) {
                failServer(random);
            }
        }
        return group.checks.violations;
    }

    private void failServer(Random random) {
        List<SimulatedServer> servers = List.copyOf(group.servers.servers.values());
        SimulatedServer server = servers.get(random.nextInt(servers.size()));
        group.servers.setDown(server, true);
        group.schedule(1_000_000L + random.nextInt(4_000_000), () -> group.servers.setDown(server, false));
    }

    /** Runs with given faults, each after a pause. */
    List<String> run(List<Fault> faults, long gapMillis) {
        runFor(4_000);
        for (Fault fault : faults) {
            fault.begin(group);
            runFor(gapMillis);
        }
        return group.checks.violations;
    }

    private void runFor(long millis) {
        for (long left = millis; left > 0; left -= 10) {
            group.runFor(10);
            leaderlessMillis += group.leader().isEmpty() ? 10 : 0;
        }
    }

    /** Mends everything; returns how long it took until one VM led and each server had a dispatcher, or -1. */
    long recover() {
        group.clearFaults();
        if (group.servers != null) {
            group.servers.servers.values().forEach(s -> group.servers.setDown(s, false));
        }
        group.runFor(3_500);
        return group.runUntil(RECOVERY_MILLIS, this::hasRecovered);
    }

    private boolean hasRecovered() {
        boolean everyServer = group.servers == null || group.servers.areAllServedAsRecorded();
        for (int i = 0; i < 3; i++) {
            ServerId server = new ServerId("server-" + i);
            everyServer &= group.running().stream()
                            .filter(v -> v.dispatchesFor(server))
                            .count()
                    == 1;
        }
        List<SimulatedVm> running = group.running();
        return everyServer
                && running.stream().filter(v -> v.leadingTerm().isPresent()).count() == 1
                && running.stream()
                        .allMatch(v -> v.view != null
                                && v.view.state().roster(SimulatedGroup.MARAS).size() == running.size());
    }
}
