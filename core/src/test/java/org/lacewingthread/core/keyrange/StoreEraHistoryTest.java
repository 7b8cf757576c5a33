package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Random histories in which the store also comes back from older copies, beside all other faults. */
class StoreEraHistoryTest {
    private static final List<String> VMS = List.of("a", "b", "c");
    private static final int ROUNDS = 60;
    /** Longest wait for holds of lost leaders after the faults, and time for the moves that are left. */
    private static final long SETTLING_MILLIS = RandomFaults.MAX_FAULT_MILLIS + 50_000;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("lacewingthread.range.seeds", 40));
    }

    /** Guards against two holders of a key after any series of losses and faults, and against keys that stay unserved. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noKeyHasTwoHoldersWhenTheStoreLosesRecords(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        RangeSimulation simulation = new RangeSimulation(random);
        VMS.forEach(simulation::addVm);
        for (int i = 0; i < 5; i++) {
            simulation.addServer("s" + i, 1);
        }
        RandomCallFates fates = new RandomCallFates(random);
        fates.applyTo(simulation);
        boolean storeFails = seed % 2 == 0;
        simulation.vmsReport = seed % 3 == 0;
        fates.unansweredAppends = storeFails;
        RandomFaults faults = new RandomFaults(simulation, random, storeFails);
        int lossInterval = 2 + random.nextInt(14);
        simulation.runFor(1_000);
        for (int i = 0; i < ROUNDS; i++) {
            fates.callFaultRatio = random.nextInt(4) * (storeFails ? 0.1 : 0.2);
            fates.appendFaultRatio = random.nextInt(4) * 0.2;
            faults.inject(i);
            simulation.runFor(50 + random.nextInt(1_500));
            if (random.nextInt(lossInterval) == 0) {
                loseRecords(simulation, random);
            }
        }
        fates.callFaultRatio = 0;
        fates.appendFaultRatio = 0;
        simulation.runFor(SETTLING_MILLIS);
        assertThat(simulation.violations).as("keys with two holders").isEmpty();
        assertThat(simulation.prematureGrants).as("grants beside another hold").isEmpty();
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
    }

    /** Loses records at once, or after the store was away for all VMs for a while. */
    private static void loseRecords(RangeSimulation simulation, RandomGenerator random) {
        int lost = random.nextInt(random.nextBoolean() ? 4 : 30);
        if (random.nextBoolean()) {
            simulation.disconnectedFromStore.addAll(VMS);
            simulation.runFor(random.nextInt(random.nextBoolean() ? 2_000 : 12_000));
            simulation.disconnectedFromStore.clear();
        }
        simulation.store.loseNewest((int) Math.min(lost, simulation.store.end()));
    }
}
