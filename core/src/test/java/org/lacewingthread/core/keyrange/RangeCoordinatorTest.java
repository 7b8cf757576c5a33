package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServerStart;

class RangeCoordinatorTest {
    private RangeWorld world;
    private final List<ServerStart> starts = new ArrayList<>();

    @BeforeEach
    void startThreeVmsAndFiveServers() {
        createWorld(new SplittableRandom(7));
    }

    private void createWorld(RandomGenerator random) {
        world = new RangeWorld(random);
        starts.clear();
        List.of("a", "b", "c").forEach(world::addVm);
        for (int i = 0; i < 5; i++) {
            starts.add(world.addServer("s" + i, 1));
        }
    }

    @Test
    void everyKeyIsHeldSoonAfterTheStart() {
        world.run(1_000);
        assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
    }

    @Test
    void aDrainMovesEveryKeyWithinTwoSeconds() {
        world.run(3_000);
        world.ready.remove(starts.get(0));
        world.run(1_500);
        assertThat(world.recorded().ranges(RangeWorld.SERVICE))
                .noneMatch(range -> range.owner().equals(starts.get(0)));
        assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
        assertThat(world.violations).isEmpty();
    }

    @Test
    void aSilentServersKeysMoveOnceItsHoldRanOut() {
        world.run(3_000);
        world.silent.add(starts.get(0));
        world.registered.remove(starts.get(0));
        world.ready.remove(starts.get(0));
        world.run(8_000);
        assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
        assertThat(world.violations).isEmpty();
    }

    /** The last grant that may have arrived decides; asking a silent server again must not prolong its hold. */
    @Test
    void aSilentServersKeysMoveAsSoonAsTheGrantBeforeItsSilenceRanOut() {
        world.run(3_000);
        world.silent.add(starts.get(0));
        long holdMillis = RangeWorld.TIMES.heldUntilMillis(0);
        world.run(RangeWorld.TIMES.renewMillis() + RangeWorld.CALL_TIMEOUT_MILLIS + holdMillis + 300);
        assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
        assertThat(world.violations).isEmpty();
    }

    @Test
    void aServerThatMissesOneCallKeepsItsKeys() {
        world.run(3_000);
        world.silent.add(starts.get(0));
        world.run(RangeWorld.TIMES.renewMillis() + 500);
        world.silent.clear();
        RangeTable before = world.recorded();
        for (int i = 0; i < 80; i++) {
            world.run(100);
            assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
        }
        assertThat(world.recorded()).isEqualTo(before);
    }

    @Test
    void aServerThatStartedAnewIsGrantedKeysAtOnce() {
        world.run(3_000);
        world.servers.get(starts.get(0)).alive = false;
        world.ready.remove(starts.get(0));
        world.registered.remove(starts.get(0));
        world.addServer("s0", 4_000);
        world.run(1_000);
        assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
        assertThat(world.violations).isEmpty();
    }

    @Test
    void aNewLeaderGoesOnWithoutAGap() {
        world.run(3_000);
        world.stoppedVms.add("a");
        world.run(2_300);
        world.chosen = "b";
        for (int i = 0; i < 100; i++) {
            world.run(100);
            assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
        }
    }

    @Test
    void aLeaderWithoutStoreGoesOnRenewing() {
        world.run(3_000);
        world.cutFromStore.addAll(List.of("a", "b", "c"));
        world.run(9_000);
        assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
    }

    @Test
    void aLeaderThatIsLostInTheMidstOfADrainIsReplaced() {
        world.run(3_000);
        world.ready.remove(starts.get(0));
        world.run(30);
        world.stoppedVms.add("a");
        world.run(2_000);
        world.chosen = "b";
        world.run(1_500);
        assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
        assertThat(world.violations).isEmpty();
    }

    /**
     * Seeds that failed before: 10 and 18 moved a range beside a renewal under way, 261 and 266 gave up a
     * target whose grant had no answer yet.
     */
    static LongStream seeds() {
        return LongStream.concat(
                LongStream.rangeClosed(1, Long.getLong("lacewingthread.range.seeds", 40)), LongStream.of(261, 266));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noKeyEverHasTwoHolders(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        createWorld(random);
        world.lateRatio = 0.05;
        List<String> vms = List.of("a", "b", "c");
        for (int i = 0; i < 60; i++) {
            disturb(random, vms, i);
            world.run(200 + random.nextInt(1_800));
        }
        assertThat(world.violations).isEmpty();
        world.cutFromStore.clear();
        world.stoppedVms.clear();
        world.silent.clear();
        world.lateRatio = 0;
        world.run(30_000);
        assertThat(world.servedKeys()).isEqualTo(world.checkedKeys());
    }

    /** A renewal that is sent while a move is being recorded may arrive after the release. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aRenewalNeverOvertakesARelease(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        createWorld(random);
        world.jitterMillis = 40;
        for (int i = 0; i < 40; i++) {
            world.run(1_500 + random.nextInt(500));
            ServerStart leaving = List.copyOf(world.ready).get(random.nextInt(world.ready.size()));
            world.ready.remove(leaving);
            world.addServer("n" + i, i);
        }
        assertThat(world.violations).isEmpty();
    }

    private void disturb(RandomGenerator random, List<String> vms, int round) {
        ServerStart server = List.copyOf(world.servers.keySet()).get(random.nextInt(world.servers.size()));
        String vm = vms.get(random.nextInt(vms.size()));
        switch (random.nextInt(9)) {
            case 0 -> world.ready.remove(server);
            case 1 -> {
                world.silent.add(server);
                world.registered.remove(server);
                world.ready.remove(server);
            }
            case 2 -> {
                world.silent.remove(server);
                world.registered.add(server);
                world.ready.add(server);
            }
            case 3 -> world.addServer("n" + round, round);
            case 4 -> world.chosen = vm;
            case 5 -> world.cutFromStore.add(vm);
            case 6 -> world.cutFromStore.remove(vm);
            case 7 -> world.stoppedVms.add(vm);
            default -> world.stoppedVms.clear();
        }
        for (int i = 0; i < 50; i++) {
            world.load.add(30_000 + random.nextInt(500), 100, world.nowMillis);
        }
        if (world.ready.isEmpty()) {
            world.addServer("r" + round, round);
        }
    }
}
