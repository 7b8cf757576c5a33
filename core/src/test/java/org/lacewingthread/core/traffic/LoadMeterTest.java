package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

class LoadMeterTest {
    private static final ServerId SERVER = new ServerId("s1");

    private static ShardId shard(int index) {
        return new ShardId(new ApplicationId("ledger"), index);
    }

    @Test
    void reportsRateBusiestShardAndItsBusiestKey() {
        LoadMeter meter = new LoadMeter(SERVER, 0);
        for (int i = 0; i < 400; i++) {
            meter.add(shard(7), i % 4 == 0 ? i : 99);
            meter.add(shard(100 + i), i);
        }
        ServerLoad load = meter.measureAndReset(2_000);
        assertThat(load.requestsPerSecond()).isEqualTo(400);
        ServerLoad.ShardLoad hottest = load.hottestShards().get(0);
        assertThat(hottest.shard()).isEqualTo(shard(7));
        assertThat(hottest.requestsPerSecond()).isCloseTo(200, within(10.0));
        assertThat(hottest.hottestKeyHash()).isEqualTo(99);
        assertThat(hottest.hottestKeyShare()).isCloseTo(0.75, within(0.1));
    }

    @Test
    void nextIntervalStartsEmpty() {
        LoadMeter meter = new LoadMeter(SERVER, 0);
        meter.add(shard(1), 1);
        meter.measureAndReset(1_000);
        assertThat(meter.measureAndReset(2_000)).isEqualTo(new ServerLoad(SERVER, 0, List.of()));
    }

    @Property(seed = "20261203", tries = 200)
    void countIsNeverTooLowAndTooHighByAtMostItsErrorBound(@ForAll long seed) {
        Random random = new Random(seed);
        SpaceSavingCounter<Integer> counter = new SpaceSavingCounter<>(8);
        long[] exact = new long[40];
        for (int i = 0; i < 500; i++) {
            int value = (int) Math.min(39, Math.abs(random.nextGaussian() * 6));
            exact[value]++;
            counter.add(value);
        }
        for (SpaceSavingCounter.FrequentItem<Integer> item : counter.mostFrequent(8)) {
            assertThat(item.count()).isBetween(exact[item.value()], exact[item.value()] + item.error());
        }
    }
}
