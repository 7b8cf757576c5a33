package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.id.ServerStart;

/** Random histories in which calls meet the faults that the platform may cause. */
class RangeCoordinatorHistoryTest {
    private static final List<String> VMS = List.of("a", "b", "c");
    private static final int ROUNDS = 60;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("lacewingthread.range.seeds", 40));
    }

    /** Guards against two holders of a key after any series of faults, and against keys that stay unserved. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noKeyHasTwoHoldersUnderRandomCallFaults(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        RangeSimulation simulation = new RangeSimulation(random);
        VMS.forEach(simulation::addVm);
        for (int i = 0; i < 5; i++) {
            simulation.addServer("s" + i, 1);
        }
        RandomCallFates fates = new RandomCallFates(random);
        fates.applyTo(simulation);
        simulation.runFor(1_000);
        for (int i = 0; i < ROUNDS; i++) {
            fates.faultRatio = random.nextInt(4) * 0.1;
            injectFault(simulation, random, i);
            simulation.runFor(50 + random.nextInt(1_500));
        }
        fates.faultRatio = 0;
        endFaults(simulation);
        simulation.runFor(30_000);
        assertThat(simulation.violations).as("keys with two holders").isEmpty();
        assertThat(simulation.prematureGrants).as("grants beside another hold").isEmpty();
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
    }

    private static void endFaults(RangeSimulation simulation) {
        simulation.disconnectedFromStore.clear();
        simulation.isolatedVms.clear();
        simulation.stoppedVms.clear();
        simulation.unreachable.clear();
        simulation.unreachableFrom.clear();
        simulation.vms.values().forEach(vm -> vm.readDelayMillis = 0);
    }

    private static void injectFault(RangeSimulation simulation, RandomGenerator random, int round) {
        ServerStart server = List.copyOf(simulation.servers.keySet()).get(random.nextInt(simulation.servers.size()));
        String vm = VMS.get(random.nextInt(VMS.size()));
        switch (random.nextInt(16)) {
            case 0, 1 -> simulation.ready.remove(server);
            case 2 -> {
                simulation.ready.remove(server);
                simulation.registered.remove(server);
            }
            case 3 -> endServer(simulation, server, random.nextBoolean());
            case 4, 5 -> simulation.addServer("n" + round, round + 2L);
            case 6, 7 -> simulation.leaderCandidate = vm;
            case 8 -> simulation.disconnectedFromStore.add(vm);
            case 9 -> {
                simulation.disconnectedFromStore.add(vm);
                simulation.isolatedVms.add(vm);
            }
            case 10 -> {
                simulation.disconnectedFromStore.clear();
                simulation.isolatedVms.clear();
            }
            case 11 -> cutSomeServersOff(simulation, random, vm);
            case 12 -> {
                simulation.unreachable.clear();
                simulation.unreachableFrom.clear();
            }
            case 13 -> {
                simulation.vms.get(vm).stepsBeforeWaitingAnswers = random.nextBoolean();
                simulation.pause(vm, 200 + random.nextInt(6_000));
            }
            case 14 -> simulation.vms.get(vm).readDelayMillis = random.nextInt(2_500);
            default -> simulation.vms.get(vm).start(random.nextLong(1L << 40));
        }
        for (int i = 0; i < 50; i++) {
            simulation.load.add(random.nextInt(65) * 1_000 + random.nextInt(500), 100, simulation.nowMillis);
        }
        if (simulation.ready.size() < 2) {
            simulation.addServer("r" + round, round + 2L);
        }
    }

    private static void endServer(RangeSimulation simulation, ServerStart server, boolean isReplaced) {
        simulation.servers.get(server).alive = false;
        simulation.ready.remove(server);
        simulation.registered.remove(server);
        if (isReplaced) {
            simulation.replaced.add(server);
        }
    }

    private static void cutSomeServersOff(RangeSimulation simulation, RandomGenerator random, String vm) {
        Set<ServerStart> cutOff = new HashSet<>(simulation.servers.keySet());
        cutOff.removeIf(server -> random.nextBoolean());
        simulation.unreachableFrom.put(vm, cutOff);
        if (random.nextInt(4) == 0) {
            simulation.unreachable.addAll(cutOff);
        }
    }
}
