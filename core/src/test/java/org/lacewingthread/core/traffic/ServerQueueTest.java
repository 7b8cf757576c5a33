package org.lacewingthread.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingthread.core.config.RequestClass.DEFERRABLE;
import static org.lacewingthread.core.config.RequestClass.LOOKUP;
import static org.lacewingthread.core.config.RequestClass.NON_REPEATABLE;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.config.RequestClass;

class ServerQueueTest {
    private static final long FAR_MILLIS = 100_000;

    private final ServerQueue<String> queue = new ServerQueue<>(new ServerQueue.Settings(2, 8, 10));

    private Admission offer(String value, long key, RequestClass requestClass, long deadlineMillis) {
        return queue.offer(value, key, requestClass, deadlineMillis, 0);
    }

    private List<String> pollAll() {
        List<String> served = new ArrayList<>();
        for (Optional<String> next = queue.poll(); next.isPresent(); next = queue.poll()) {
            served.add(next.get());
            queue.onAnswered(10);
        }
        return served;
    }

    @Test
    void pollReturnsNothingWhileAllSlotsAreBusy() {
        offer("a", 1, LOOKUP, FAR_MILLIS);
        offer("b", 2, LOOKUP, FAR_MILLIS);
        offer("c", 3, LOOKUP, FAR_MILLIS);
        assertThat(queue.poll()).contains("a");
        assertThat(queue.poll()).contains("b");
        assertThat(queue.poll()).isEmpty();
        queue.freeSlot();
        assertThat(queue.poll()).contains("c");
    }

    @Test
    void servesDeferrableRequestsLastAndOneKeyByDeadline() {
        offer("history", 1, DEFERRABLE, 500);
        offer("late", 2, LOOKUP, 900);
        offer("soon", 2, NON_REPEATABLE, 400);
        assertThat(pollAll()).containsExactly("soon", "late", "history");
    }

    @Test
    void hotKeyDelaysOtherKeysByAtMostOneRequest() {
        for (int i = 0; i < 5; i++) {
            offer("hot" + i, 1, LOOKUP, 1_000 + i);
        }
        offer("cold", 2, LOOKUP, FAR_MILLIS);
        assertThat(pollAll().indexOf("cold")).isLessThanOrEqualTo(1);
    }

    @Test
    void recurringKeyDoesNotStarveAWaitingKey() {
        offer("waiting", 2, LOOKUP, FAR_MILLIS);
        List<String> served = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            offer("hot" + i, 1, LOOKUP, 500);
            served.add(queue.poll().orElseThrow());
            queue.onAnswered(10);
        }
        assertThat(served).contains("waiting");
    }

    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedOnOffer() {
        for (int i = 0; i < 6; i++) {
            assertThat(offer("r" + i, i, LOOKUP, FAR_MILLIS).isQueued()).isTrue();
        }
        Admission refused = offer("late", 9, LOOKUP, 25);
        assertThat(refused.refusal()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(refused.retryAfterMillis()).isPositive();
        assertThat(offer("passed", 9, LOOKUP, 0).refusal()).isEqualTo(ResultCode.DEADLINE_PASSED);
    }

    @Test
    void standingQueueAdmitsOnlyRequestsWithAShortWait() {
        ServerQueue<Integer> large = new ServerQueue<>(new ServerQueue.Settings(2, 64, 10));
        for (int i = 0; i < 20; i++) {
            assertThat(large.offer(i, i, LOOKUP, FAR_MILLIS, 0).isQueued()).isTrue();
        }
        assertThat(large.offer(20, 20, LOOKUP, FAR_MILLIS, 249).isQueued()).isTrue();
        assertThat(large.offer(21, 21, LOOKUP, FAR_MILLIS, 250).refusal()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(large.offer(22, 22, DEFERRABLE, FAR_MILLIS, 250).refusal()).isEqualTo(ResultCode.OVERLOADED);
        large.removeIf(value -> true);
        assertThat(large.offer(23, 23, LOOKUP, FAR_MILLIS, 251).isQueued()).isTrue();
    }

    @Test
    void deferrableRequestsAreShedWhileOtherRequestsWaitContinuously() {
        offer("history", 1, DEFERRABLE, FAR_MILLIS);
        offer("lookup", 2, LOOKUP, FAR_MILLIS);
        assertThat(queue.takeDropped(99)).isEmpty();
        assertThat(queue.takeDropped(100))
                .extracting(ServerQueue.Dropped::value)
                .containsExactly("history");
        assertThat(queue.offer("history", 1, DEFERRABLE, FAR_MILLIS, 101).refusal())
                .isEqualTo(ResultCode.OVERLOADED);
        pollAll();
        assertThat(queue.offer("history", 1, DEFERRABLE, FAR_MILLIS, 102).isQueued())
                .isTrue();
    }

    @Test
    void fullQueueShedsDeferrableRequestsFirst() {
        offer("history", 1, DEFERRABLE, FAR_MILLIS);
        for (int i = 0; i < 7; i++) {
            offer("r" + i, 2, LOOKUP, FAR_MILLIS);
        }
        assertThat(offer("hold", 3, NON_REPEATABLE, FAR_MILLIS).isQueued()).isTrue();
        assertThat(queue.takeDropped(0)).singleElement().satisfies(dropped -> {
            assertThat(dropped.value()).isEqualTo("history");
            assertThat(dropped.code()).isEqualTo(ResultCode.OVERLOADED);
        });
    }

    @Test
    void fullQueueDropsARequestOfTheKeyWithMostQueued() {
        for (int i = 0; i < 8; i++) {
            offer("hot" + i, 1, LOOKUP, 10_000 + i);
        }
        assertThat(offer("hot8", 1, LOOKUP, 9_000).refusal()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(offer("cold", 2, LOOKUP, FAR_MILLIS).isQueued()).isTrue();
        assertThat(queue.takeDropped(0)).extracting(ServerQueue.Dropped::value).containsExactly("hot7");
    }

    @Test
    void queuedRequestIsDroppedOnceItsDeadlineCannotBeMet() {
        offer("a", 1, LOOKUP, 100);
        assertThat(queue.takeDropped(89)).isEmpty();
        assertThat(queue.takeDropped(91)).extracting(ServerQueue.Dropped::value).containsExactly("a");
        assertThat(queue.poll()).isEmpty();
    }

    @Test
    void idleSlotIsTakenOnlyWhileNothingIsQueued() {
        offer("a", 1, LOOKUP, FAR_MILLIS);
        assertThat(queue.tryTakeIdleSlot()).isFalse();
        queue.poll();
        assertThat(queue.tryTakeIdleSlot()).isTrue();
        assertThat(queue.tryTakeIdleSlot()).isFalse();
    }

    @Property(seed = "20261203", tries = 300)
    void everyQueuedRequestLeavesExactlyOnceAndBoundsHold(@ForAll long seed) {
        Random random = new Random(seed);
        ServerQueue<Integer> fuzzed = new ServerQueue<>(new ServerQueue.Settings(2, 16, 5));
        Set<Integer> queued = new HashSet<>();
        List<Integer> left = new ArrayList<>();
        int busy = 0;
        for (int now = 0; now < 400; now++) {
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    RequestClass requestClass = RequestClass.values()[random.nextInt(3)];
                    long deadlineMillis = (long) now + random.nextInt(200);
                    if (fuzzed.offer(now, random.nextInt(5), requestClass, deadlineMillis, now)
                            .isQueued()) {
                        queued.add(now);
                    }
                }
                case 2 -> {
                    Optional<Integer> next = fuzzed.poll();
                    next.ifPresent(left::add);
                    busy += next.isPresent() ? 1 : 0;
                }
                default -> {
                    if (busy > 0) {
                        fuzzed.onAnswered(random.nextInt(20));
                        busy--;
                    }
                }
            }
            fuzzed.takeDropped(now).forEach(dropped -> left.add(dropped.value()));
            assertThat(fuzzed.queued()).isLessThanOrEqualTo(16);
            assertThat(fuzzed.busySlots()).isEqualTo(busy).isLessThanOrEqualTo(2);
        }
        left.addAll(fuzzed.removeIf(value -> true));
        assertThat(left).doesNotHaveDuplicates().containsExactlyInAnyOrderElementsOf(queued);
    }
}
