package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class UnevenServersTest {
    private static final List<FleetModel.TrafficClass> CLASSES = List.of(
            new FleetModel.TrafficClass(0, 0.4, 1_500, 2_500),
            new FleetModel.TrafficClass(1, 0.2, 2_000, 3_000),
            new FleetModel.TrafficClass(2, 0.4, 3_000, 4_000));

    /** Load pattern: each of 70 VMs sees a server once in seconds, believes it empty, and all together fill its queue. */
    @Test
    void manyVmsDoNotFillTheQueues() {
        assertThat(new FleetModel(70, 70, 1.3, CLASSES).run(20_000).fullShare()).isLessThan(0.04);
    }

    /** Load pattern: a server that was busy in several reports is still believed busy seconds after the last one. */
    @Test
    void busyServerIsNotBelievedIdleWhenItsReportIsOld() {
        OtherVmsLoad load = new OtherVmsLoad();
        load.onReported(12, 0);
        load.onReported(16, 1_000);
        assertThat(load.estimate(100, true, 2_500)).isBetween(8.0, 12.0);
        assertThat(load.estimate(100, true, 30_000)).isLessThan(0.1);
    }
}
