package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServiceId;

class ServiceRetryBudgetTest {
    private static final ServiceId READS = new ServiceId("reads");
    private static final ServiceId UPLOADS = new ServiceId("uploads");
    private static final double RATIO = 0.14;
    private static final double SLACK = 108;
    private static final long WINDOW_MILLIS = 10_000;

    private final ServiceRetryBudget budget = new ServiceRetryBudget(RATIO, SLACK / 70, WINDOW_MILLIS);

    /**
     * Load: an entry VM with 20 requests/s; for 4 s, one server in ten breaks each connection. Guards against failing
     * these requests although the retries of the last seconds are unused.
     */
    @Test
    void retriesThatWereNotNeededBeforeCoverServersThatBreakConnections() {
        sendFirsts(READS, 0, WINDOW_MILLIS, 50);
        int denied = 0;
        for (long at = WINDOW_MILLIS; at < WINDOW_MILLIS + 4_000; at += 50) {
            budget.onFirstAttempt(READS, at);
            if (at % 500 == 0 && !budget.tryTake(READS, at)) {
                denied++;
            }
        }
        assertThat(denied).isZero();
    }

    /** Guards against retries at one service that are paid for by the requests for another one. */
    @Test
    void requestsForOneServiceAllowNoRetriesAtAnother() {
        sendFirsts(READS, 0, WINDOW_MILLIS, 10);
        assertThat(budget.tryTake(UPLOADS, WINDOW_MILLIS)).isTrue();
        assertThat(budget.tryTake(UPLOADS, WINDOW_MILLIS)).isFalse();
        assertThat(budget.denied()).isEqualTo(1);
    }

    /** Guards against many attempts at a full owner of keys, which take the room of the requests that wait for it. */
    @Test
    void attemptsAtFullOwnersAreLimitedToTheSlack() {
        sendFirsts(READS, 0, WINDOW_MILLIS, 10);
        assertThat(budget.tryTakeAtFullOwner(READS, WINDOW_MILLIS)).isTrue();
        assertThat(budget.tryTakeAtFullOwner(READS, WINDOW_MILLIS)).isFalse();
        assertThat(budget.tryTake(READS, WINDOW_MILLIS)).isTrue();
    }

    /** Guards against retries that are saved up for longer than the window. */
    @Test
    void firstAttemptsBeforeTheWindowDoNotCount() {
        sendFirsts(READS, 0, WINDOW_MILLIS, 10);
        long later = 3 * WINDOW_MILLIS;
        assertThat(budget.tryTake(READS, later)).isTrue();
        assertThat(budget.tryTake(READS, later)).isFalse();
    }

    /**
     * Guards against entry VMs that together exceed the shared limit in some window: each asks for a retry as often as it
     * can, under demand that comes and goes.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void entryVmsTogetherStayWithinTheLimitInEachWindow(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<ServiceRetryBudget> vms = new ArrayList<>();
        for (int i = 0; i < 19; i++) {
            vms.add(new ServiceRetryBudget(RATIO, SLACK / 19, WINDOW_MILLIS));
        }
        int steps = 3_500;
        int[] firsts = new int[steps];
        int[] extras = new int[steps];
        for (int step = 0; step < steps; step++) {
            boolean busy = step / 700 % 2 == 0;
            for (ServiceRetryBudget vm : vms) {
                if (random.nextInt(busy ? 5 : 50) == 0) {
                    vm.onFirstAttempt(READS, step * 10L);
                    firsts[step]++;
                }
                while (random.nextInt(4) == 0 && vm.tryTake(READS, step * 10L)) {
                    extras[step]++;
                }
            }
        }
        int window = 1_000;
        for (int from = 2 * window; from + window <= steps; from += 7) {
            int most = Math.max(sum(firsts, from, window), sum(firsts, from - window / 2, window));
            assertThat(sum(extras, from, window)).isLessThanOrEqualTo((int) (RATIO * most + SLACK));
        }
    }

    private void sendFirsts(ServiceId service, long fromMillis, long toMillis, long everyMillis) {
        for (long at = fromMillis; at < toMillis; at += everyMillis) {
            budget.onFirstAttempt(service, at);
        }
    }

    private static int sum(int[] counts, int from, int length) {
        int sum = 0;
        for (int i = from; i < from + length; i++) {
            sum += counts[i];
        }
        return sum;
    }
}
