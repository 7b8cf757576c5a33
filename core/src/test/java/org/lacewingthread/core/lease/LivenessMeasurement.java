package org.lacewingthread.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Measures, for a data centre of three entry VMs and six backend servers, the time without a leader and the longest
 * outage of a shard after one fault or two simultaneous faults, and prints them as a table. Run with
 * {@code mvn -pl core -am test -Dtest=LivenessMeasurement -Dsurefire.failIfNoSpecifiedTests=false}; the table
 * is written to {@code core/target/surefire-reports}.
 */
class LivenessMeasurement {
    private static final int RUNS = Integer.getInteger("lease.liveness.runs", 100);
    private static final long WATCH_MILLIS = 6_000;
    private static final long STEP_MILLIS = 5;

    private enum Case {
        FOLLOWER_LOST(g -> g.stop(follower(g))),
        LEADER_LOST(g -> g.stop(leader(g))),
        LEADER_PAUSED_2_S(g -> leader(g).pause(2_000)),
        LOG_OUT(g -> g.log.unavailable = true),
        LOG_SLOW(g -> g.log.slow = true),
        FOLLOWER_LOST_LOG_OUT(LOG_OUT.fault.andThen(FOLLOWER_LOST.fault)),
        LEADER_LOST_LOG_OUT(LOG_OUT.fault.andThen(LEADER_LOST.fault)),
        LEADER_LOST_LOG_SLOW(LOG_SLOW.fault.andThen(LEADER_LOST.fault)),
        SERVER_LOST(g -> g.servers.setDown(server(g), true)),
        SERVER_LOST_LOG_OUT(LOG_OUT.fault.andThen(SERVER_LOST.fault)),
        SERVER_AND_LEADER_LOST(SERVER_LOST.fault.andThen(LEADER_LOST.fault)),
        SERVER_AND_LEADER_LOST_LOG_OUT(LOG_OUT.fault.andThen(SERVER_AND_LEADER_LOST.fault)),
        FOLLOWER_RESTARTED(g -> restart(g, follower(g))),
        LEADER_RESTARTED(g -> restart(g, leader(g))),
        ALL_VMS_RESTARTED(g -> g.running().forEach(v -> restart(g, v)));

        private final Consumer<SimulatedGroup> fault;

        Case(Consumer<SimulatedGroup> fault) {
            this.fault = fault;
        }

        private static SimulatedVm leader(SimulatedGroup group) {
            return group.leader().orElseThrow();
        }

        private static SimulatedVm follower(SimulatedGroup group) {
            return group.running().stream()
                    .filter(v -> v.leadingTerm().isEmpty())
                    .findFirst()
                    .orElseThrow();
        }

        private static SimulatedServer server(SimulatedGroup group) {
            return List.copyOf(group.servers.servers.values()).get(group.random.nextInt(6));
        }

        private static void restart(SimulatedGroup group, SimulatedVm vm) {
            group.stop(vm);
            group.schedule(300_000, () -> group.start(vm.name, vm.clockRate));
        }
    }

    @Test
    void printsOutageTable() {
        System.out.printf("%-32s %24s %24s%n", RUNS + " runs, milliseconds", "no leader", "worst shard unserved");
        System.out.printf("%-32s %8s%8s%8s %8s%8s%8s%n", "", "median", "p99", "max", "median", "p99", "max");
        for (Case fault : Case.values()) {
            List<Long> leaderless = new ArrayList<>();
            List<Long> unserved = new ArrayList<>();
            for (long seed = 0; seed < RUNS; seed++) {
                measure(fault, seed, leaderless, unserved);
            }
            System.out.printf("%-32s %s %s%n", fault, columns(leaderless), columns(unserved));
        }
    }

    private static void measure(Case fault, long seed, List<Long> leaderless, List<Long> unserved) {
        SimulatedGroup group = new SimulatedGroup(seed);
        group.servers = new SimulatedServers(group, 6);
        for (int i = 0; i < 3; i++) {
            group.start("maras-" + i, 0.99 + 0.01 * i);
        }
        group.runFor(12_000 + group.random.nextInt(500));
        assertThat(group.servers.areAllServed())
                .as("served before the fault, seed %d", seed)
                .isTrue();
        fault.fault.accept(group);
        long leaderlessMillis = 0;
        long[] lastServedMillis = new long[SimulatedServers.SHARDS];
        long[] longestOutageMillis = new long[SimulatedServers.SHARDS];
        Arrays.fill(lastServedMillis, group.nowMillis());
        for (long elapsedMillis = 0; elapsedMillis < WATCH_MILLIS; elapsedMillis += STEP_MILLIS) {
            group.runFor(STEP_MILLIS);
            leaderlessMillis += group.leader().filter(v -> !v.isPaused()).isEmpty() ? STEP_MILLIS : 0;
            for (int i = 0; i < lastServedMillis.length; i++) {
                if (group.servers.isServed(i)) {
                    lastServedMillis[i] = group.nowMillis();
                }
                longestOutageMillis[i] = Math.max(longestOutageMillis[i], group.nowMillis() - lastServedMillis[i]);
            }
        }
        assertThat(group.checks.violations).isEmpty();
        leaderless.add(leaderlessMillis);
        unserved.add(Arrays.stream(longestOutageMillis).max().orElseThrow());
    }

    private static String columns(List<Long> values) {
        Collections.sort(values);
        long median = values.get(values.size() / 2);
        long p99 = values.get((values.size() * 99 - 1) / 100);
        return String.format("%8d%8d%8d", median, p99, values.get(values.size() - 1));
    }
}
