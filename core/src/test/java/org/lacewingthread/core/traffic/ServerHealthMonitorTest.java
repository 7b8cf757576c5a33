package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lacewingthread.core.control.ServerCondition;

class ServerHealthMonitorTest {
    private static final long NONE_SENT = Long.MAX_VALUE;

    private final ServerHealthMonitor monitor =
            new ServerHealthMonitor(new ServerHealthMonitor.Settings(250, 250, 2, 500, 5_000, 3), 0);

    @Test
    void frozenServerIsUnreachableWithinOneSecond() {
        long sentMillis = 10;
        long noticedMillis = -1;
        long probeEndMillis = -1;
        for (long now = sentMillis; now < 1_000 && noticedMillis < 0; now += 10) {
            if (probeEndMillis == now) {
                monitor.onProbeFailed(now);
            }
            if (monitor.shouldProbe(sentMillis, now)) {
                probeEndMillis = now + monitor.probeTimeoutMillis();
            }
            noticedMillis = monitor.condition().isAnswering() ? -1 : now;
        }
        assertThat(noticedMillis).isBetween(sentMillis, sentMillis + 1_000);
    }

    @Test
    void serverStaysReachableOnASilentConnectionWhileProbesAreAnswered() {
        for (long now = 0; now < 10_000; now += 10) {
            if (monitor.shouldProbe(0, now)) {
                monitor.onProbeAnswered(ServerCondition.REACHABLE, now);
            }
            assertThat(monitor.condition()).isEqualTo(ServerCondition.REACHABLE);
        }
    }

    @Test
    void answeringServerIsProbedOnlyRoutinely() {
        int probes = 0;
        for (long now = 0; now < 20_000; now += 10) {
            monitor.onResponseReceived(now);
            if (monitor.shouldProbe(now, now)) {
                probes++;
                monitor.onProbeAnswered(ServerCondition.REACHABLE, now);
            }
        }
        assertThat(probes).isLessThanOrEqualTo(4);
    }

    @Test
    void failedProbeIsIgnoredIfAResponseArrivedMeanwhile() {
        monitor.shouldProbe(0, 300);
        monitor.onResponseReceived(400);
        monitor.onProbeFailed(550);
        monitor.shouldProbe(500, 800);
        monitor.onProbeFailed(1_050);
        assertThat(monitor.condition()).isEqualTo(ServerCondition.REACHABLE);
    }

    @Test
    void serverIsUnreachableAfterConsecutiveUnansweredRequests() {
        for (int i = 0; i < 3; i++) {
            monitor.onUnanswered();
        }
        assertThat(monitor.condition()).isEqualTo(ServerCondition.UNREACHABLE);
    }

    @Test
    void unreachableServerIsProbedUntilItAnswers() {
        monitor.onConnectFailed(0);
        monitor.onConnectFailed(1);
        assertThat(monitor.condition()).isEqualTo(ServerCondition.UNREACHABLE);
        assertThat(monitor.shouldProbe(NONE_SENT, 400)).isFalse();
        assertThat(monitor.shouldProbe(NONE_SENT, 501)).isTrue();
        monitor.onProbeAnswered(ServerCondition.COLD, 510);
        assertThat(monitor.condition()).isEqualTo(ServerCondition.COLD);
    }
}
