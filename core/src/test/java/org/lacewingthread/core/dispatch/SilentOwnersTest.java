package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Load pattern: one owner gets up to twice the keyed requests that it can serve, and drops without an answer what it can't queue. */
class SilentOwnersTest {
    private static final int SERVERS = 24;
    /** Demand of all other keys relative to the capacity, which the hot owner gets its part of. */
    private static final double OTHER_DEMAND = 0.6;

    private static FleetModel run(int vmCount, double hotDemand) {
        double demand = OTHER_DEMAND + hotDemand / SERVERS;
        double hotShare = hotDemand / SERVERS / demand;
        List<FleetModel.TrafficClass> classes = List.of(
                new FleetModel.TrafficClass(0, hotShare, 840, 4_174),
                new FleetModel.TrafficClass(1, 1 - hotShare, 840, 4_174));
        return new FleetModel(vmCount, SERVERS, demand, classes, true).run(60_000);
    }

    /** Guards against VMs that keep the owner's queue full, so that answers are late, and requests wait for none until their deadline. */
    @ParameterizedTest
    @CsvSource({"12, 0.8, 0.63, 0.003", "12, 1.5, 0.42, 0.003", "70, 0.8, 0.48, 0.006", "70, 1.5, 0.2, 0.026"})
    void hotOwnerAnswersInTime(int vmCount, double hotDemand, double minOnTime, double maxUnanswered) {
        FleetModel fleet = run(vmCount, hotDemand);
        assertThat(fleet.onTimeShare(0)).as("on time").isGreaterThan(minOnTime);
        assertThat(fleet.unansweredShare(0)).as("unanswered").isLessThan(maxUnanswered);
    }

    /** Guards against an interval that outlasts the overload, or that one lost request makes endless. */
    @Test
    void paceFollowsTheReportedQueue() {
        OwnerPace pace = new OwnerPace();
        for (int i = 0; i < 20; i++) {
            pace.onLost(500);
        }
        assertThat(pace.intervalMillis()).isEqualTo(2_000);
        for (int i = 0; i < 8; i++) {
            pace.onReported(2, 4, 500, 180);
        }
        assertThat(pace.intervalMillis()).isZero();
    }
}
