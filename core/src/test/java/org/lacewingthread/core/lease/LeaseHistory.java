package org.lacewingthread.core.lease;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.lacewingthread.core.id.ServerId;

/** One simulated run: entry VMs under faults, followed by a period without faults in which they must recover. */
final class LeaseHistory {
    private static final long RUN_MILLIS = 20_000;
    private static final long RECOVERY_MILLIS = 30_000;
    private static final double CLOCK_RATE_SPREAD = 0.02;

    final SimulatedGroup group;
    long leaderlessMillis;

    LeaseHistory(long seed, Set<ProtocolRule> rules) {
        this(seed, rules, 0);
    }

    /** Creates a run. If there are servers, the production coordinator decides on ownership. */
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

    /** Injects random faults at random times. Stops at the first violation and returns the violations. */
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

    /** Injects the given faults, each followed by a pause, and returns the violations. */
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

    /**
     * Clears all faults and waits for recovery: one VM leads, every server has one dispatcher, and the
     * roster that every running VM knows has as many members as VMs run.
     *
     * @return milliseconds until recovery after the first 3.5 s, or -1 if the VMs did not recover
     */
    long recover() {
        group.clearFaults();
        if (group.servers != null) {
            group.servers.servers.values().forEach(s -> group.servers.setDown(s, false));
        }
        group.runFor(3_500);
        return group.runUntil(RECOVERY_MILLIS, this::hasRecovered);
    }

    private boolean hasRecovered() {
        boolean allServed = group.servers == null || group.servers.areAllServedAsRecorded();
        for (int i = 0; i < 3; i++) {
            ServerId server = new ServerId("server-" + i);
            allServed &= group.running().stream()
                            .filter(v -> v.dispatchesFor(server))
                            .count()
                    == 1;
        }
        List<SimulatedVm> running = group.running();
        return allServed
                && running.stream().filter(v -> v.leadingTerm().isPresent()).count() == 1
                && running.stream()
                        .allMatch(v -> v.view != null
                                && v.view.state().roster(SimulatedGroup.MARAS).size() == running.size());
    }
}
