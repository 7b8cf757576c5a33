package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lacewingthread.core.control.ServerCondition;

class ServerWatchTest {
    private static final long NONE_SENT = Long.MAX_VALUE;

    private final ServerWatch watch = new ServerWatch(new ServerWatch.Settings(250, 250, 2, 500, 5_000, 3), 0);

    @Test
    void frozenServerIsUnreachableWithinASecondOfTraffic() {
        long sentMillis = 10;
        long noticedMillis = -1;
        long probeEndMillis = -1;
        for (long now = sentMillis; now < 1_000 && noticedMillis < 0; now += 10) {
            if (probeEndMillis == now) {
                watch.onProbeFailed(now);
            }
            if (watch.shouldProbe(sentMillis, now)) {
                probeEndMillis = now + watch.probeTimeoutMillis();
            }
            noticedMillis = watch.condition().isAnswering() ? -1 : now;
        }
        assertThat(noticedMillis).isBetween(sentMillis, sentMillis + 1_000);
    }

    @Test
    void silentConnectionIsNoLossWhileProbesAreAnswered() {
        for (long now = 0; now < 10_000; now += 10) {
            if (watch.shouldProbe(0, now)) {
                watch.onProbeAnswered(ServerCondition.REACHABLE, now);
            }
            assertThat(watch.condition()).isEqualTo(ServerCondition.REACHABLE);
        }
    }

    @Test
    void busyServerIsProbedRarely() {
        int probes = 0;
        for (long now = 0; now < 20_000; now += 10) {
            watch.onHeard(now);
            if (watch.shouldProbe(now, now)) {
                probes++;
                watch.onProbeAnswered(ServerCondition.REACHABLE, now);
            }
        }
        assertThat(probes).isLessThanOrEqualTo(4);
    }

    @Test
    void failedProbeCountsForNothingIfAnAnswerCameMeanwhile() {
        watch.shouldProbe(0, 300);
        watch.onHeard(400);
        watch.onProbeFailed(550);
        watch.shouldProbe(500, 800);
        watch.onProbeFailed(1_050);
        assertThat(watch.condition()).isEqualTo(ServerCondition.REACHABLE);
    }

    @Test
    void serverThatClaimsToBeWellButNeverAnswersIsUnreachable() {
        for (int i = 0; i < 3; i++) {
            watch.onUnanswered();
        }
        assertThat(watch.condition()).isEqualTo(ServerCondition.UNREACHABLE);
    }

    @Test
    void unreachableServerIsProbedUntilItAnswers() {
        watch.onConnectFailed(0);
        watch.onConnectFailed(1);
        assertThat(watch.condition()).isEqualTo(ServerCondition.UNREACHABLE);
        assertThat(watch.shouldProbe(NONE_SENT, 400)).isFalse();
        assertThat(watch.shouldProbe(NONE_SENT, 501)).isTrue();
        watch.onProbeAnswered(ServerCondition.COLD, 510);
        assertThat(watch.condition()).isEqualTo(ServerCondition.COLD);
    }
}
