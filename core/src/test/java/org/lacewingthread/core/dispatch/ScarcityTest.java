package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServiceId;

/** Load pattern: more requests of several classes arrive than the servers can run. */
class ScarcityTest {
    private static final ServiceId POOL = new ServiceId("pool");

    private long lastNumber;

    private DispatchRequest request(int priority, long targetAtMillis, long deadlineMillis) {
        return new DispatchRequest(
                ++lastNumber, POOL, OptionalInt.empty(), priority, targetAtMillis, deadlineMillis, Set.<ServerId>of());
    }

    private static List<DispatchRequest> order(List<DispatchRequest> waiting, OptionalInt starved) {
        return DispatchOrder.of(waiting, starved, request -> Optional.empty(), 1_000);
    }

    /** Guards against late requests that are sent in the order of arrival, the least urgent before the most urgent. */
    @Test
    void lateRequestsAreOrderedByPriorityAndDeadline() {
        DispatchRequest relaxed = request(2, 500, 4_000);
        DispatchRequest later = request(0, 500, 1_900);
        DispatchRequest urgent = request(0, 500, 1_500);
        DispatchRequest onTime = request(2, 3_000, 4_000);
        assertThat(order(List.of(relaxed, later, urgent, onTime), OptionalInt.empty()))
                .containsExactly(onTime, urgent, later, relaxed);
    }

    /** Guards against a class that more urgent ones leave nothing for. */
    @Test
    void classThatGetsTooLittleGoesFirst() {
        ClassShares shares = new ClassShares();
        for (int i = 0; i < 50; i++) {
            shares.onDecided(new Decision.Send(request(0, 500, 1_500), null, 100));
            shares.onDecided(Refusals.refuse(request(2, 500, 1_500), RefusalCause.OVERLOADED, 100));
        }
        assertThat(shares.starvedPriority(POOL)).hasValue(2);
        DispatchRequest urgent = request(0, 2_000, 3_000);
        DispatchRequest starved = request(2, 2_000, 3_000);
        assertThat(order(List.of(urgent, starved), shares.starvedPriority(POOL)))
                .containsExactly(starved, urgent);
    }

    /** Guards against requests that wait in vain because the bound does not know how many can be sent. */
    @Test
    void waitingRequestsAreBoundedByTheRateOfTheServers() {
        WaitingRequests waiting = new WaitingRequests();
        List<DispatchRequest> removed = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            DispatchRequest added = request(i % 3, 2_000, 5_000);
            waiting.add(added);
            waiting.removeExcess(added, 3.5, 1_000).ifPresent(removed::add);
        }
        assertThat(waiting.count()).isEqualTo(56);
        assertThat(removed).noneMatch(request -> request.priority() == 0);
    }

    /** Guards against refused callers who all come back at the same time. */
    @Test
    void refusedCallersComeBackSpreadOverTheTimeOfTheWorkAhead() {
        Refusals refusals = new Refusals(new SplittableRandom(1));
        Set<Long> delays = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            delays.add(refusals.overloaded(request(0, 2_000, 3_000), 5_000).retryAfterMillis());
        }
        assertThat(delays).hasSizeGreaterThan(30).allMatch(millis -> millis >= 500 && millis <= 1_000);
    }
}
