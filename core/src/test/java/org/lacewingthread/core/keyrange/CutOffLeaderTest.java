package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.id.ServerStart;

/** Entry VMs that no server answers, while the store and the other entry VMs do. */
class CutOffLeaderTest {
    private static final long MAX_UNSERVED_MILLIS = 2_000;
    private static final long CUT_MILLIS = 12_000;
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final RangeSimulation simulation = new RangeSimulation(new SplittableRandom(7));
    private final List<ServerStart> serverStarts = new ArrayList<>();

    @BeforeEach
    void startThreeVmsAndFiveServers() {
        simulation.vmsReport = true;
        List.of("a", "b", "c").forEach(simulation::addVm);
        for (int i = 0; i < 5; i++) {
            serverStarts.add(simulation.addServer("s" + i, 1));
        }
        simulation.runFor(3_000);
    }

    /** Guards against a leader that takes its own broken links for the death of all servers and keeps the lead. */
    @Test
    void keysStayServedWhileTheLeaderReachesNoServer() {
        cut("a");
        simulation.runFor(MAX_UNSERVED_MILLIS);
        assertServedFor(CUT_MILLIS);
        assertThat(leader()).isEqualTo("b");
        simulation.unreachableFrom.clear();
        assertServedFor(CUT_MILLIS);
        assertThat(simulation.recorded().term()).isEqualTo(2);
        assertNoKeyHadTwoHolders();
    }

    /** Guards against leaders that replace each other while none of them reaches a server. */
    @Test
    void leaderStaysWhileNoVmReachesAServer() {
        List.of("a", "b", "c").forEach(this::cut);
        simulation.runFor(CUT_MILLIS);
        assertThat(leader()).isEqualTo("a");
        simulation.unreachableFrom.clear();
        simulation.runFor(MAX_UNSERVED_MILLIS);
        assertServedFor(CUT_MILLIS);
        assertThat(simulation.recorded().term()).isEqualTo(1);
        assertNoKeyHadTwoHolders();
    }

    /** Guards against the end of an all-round cut after which the keys wait for servers that count as lost. */
    @Test
    void firstVmThatReachesServersAgainLeads() {
        List.of("a", "b", "c").forEach(this::cut);
        simulation.runFor(CUT_MILLIS);
        simulation.unreachableFrom.remove("c");
        simulation.runFor(MAX_UNSERVED_MILLIS);
        assertServedFor(CUT_MILLIS);
        assertThat(leader()).isEqualTo("c");
        assertNoKeyHadTwoHolders();
    }

    /** Guards against a lost server whose keys stay with it because the leader doubts its own links. */
    @Test
    void keysOfASilentServerMoveWhileOthersAnswer() {
        simulation.unreachable.add(serverStarts.get(0));
        simulation.runFor(8_000);
        assertThat(simulation.recorded().ranges(RangeSimulation.SERVICE))
                .noneMatch(ownership -> ownership.owner().equals(serverStarts.get(0)));
        assertNoKeyHadTwoHolders();
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("lacewingthread.range.seeds", 40));
    }

    /** Guards against two holders, and keys that stay unserved, while cuts of any VMs from the servers begin and end. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noKeyHasTwoHoldersWhileVmsLoseTheirLinks(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        RangeSimulation history = new RangeSimulation(random);
        history.vmsReport = true;
        List.of("a", "b", "c", "d").forEach(history::addVm);
        for (int i = 0; i < 5; i++) {
            history.addServer("s" + i, 1);
        }
        RandomCallFates fates = new RandomCallFates(random);
        fates.applyTo(history);
        RandomFaults faults = new RandomFaults(history, random, false);
        history.runFor(3_000);
        for (int i = 0; i < 30; i++) {
            fates.callFaultRatio = random.nextInt(3) * 0.2;
            history.vms.keySet().forEach(vm -> {
                if (random.nextBoolean()) {
                    history.unreachableFrom.put(vm, new HashSet<>(history.servers.keySet()));
                } else {
                    history.unreachableFrom.remove(vm);
                }
            });
            if (random.nextInt(3) == 0) {
                faults.inject(i);
            }
            history.runFor(50 + random.nextInt(4_000));
        }
        fates.callFaultRatio = 0;
        history.unreachableFrom.clear();
        history.runFor(RandomFaults.MAX_FAULT_MILLIS + 30_000);
        assertThat(history.violations).as("keys with two holders").isEmpty();
        assertThat(history.prematureGrants).as("grants beside another hold").isEmpty();
        assertThat(history.servedKeys()).isEqualTo(history.checkedKeys());
    }

    private void cut(String vm) {
        simulation.unreachableFrom.put(vm, new HashSet<>(serverStarts));
    }

    private String leader() {
        return simulation.recorded().leader().orElseThrow().process().vm().value();
    }

    private void assertServedFor(long millis) {
        for (long checked = 0; checked < millis; checked += CHECK_INTERVAL_MILLIS) {
            simulation.runFor(CHECK_INTERVAL_MILLIS);
            assertThat(simulation.servedKeys())
                    .as("served keys at %d ms", simulation.nowMillis)
                    .isEqualTo(simulation.checkedKeys());
        }
    }

    private void assertNoKeyHadTwoHolders() {
        assertThat(simulation.violations).as("keys with two holders").isEmpty();
        assertThat(simulation.prematureGrants).as("grants beside another hold").isEmpty();
    }
}
