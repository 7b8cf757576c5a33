package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/**
 * Adaptive concurrency: simulates entry VMs that share one owning server without coordination. One busy
 * key brings several times the load that the owner can serve, and the owner resets connections when its
 * queue is full.
 * Guards against entry VMs whose backoff leaves the owner idle, overfills its queue or causes resets.
 */
class OverloadedOwnerTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final DataCentreId HERE = new DataCentreId("maras");
    private static final int ENTRY_VMS = 12;
    private static final int SLOTS = 2;
    private static final int QUEUE = 8;
    private static final long WORK_MILLIS = 120;
    private static final long TARGET_MILLIS = 400;
    private static final long DEADLINE_MILLIS = 1_200;
    private static final long RUN_MILLIS = 20_000;
    /** Start of the run that is not counted, until the dispatchers know the server's load. */
    private static final long WARM_UP_MILLIS = 2_000;

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private final List<RequestDispatcher> dispatchers = new ArrayList<>();
    private final List<Sent> queue = new ArrayList<>();
    private int running;
    private long atServerMillis;
    private int answers;
    private int resets;
    private int sends;
    private long nextNumber;

    private record Event(long atMillis, LongConsumer task) {}

    private record Sent(int vm, Decision.Send send, long sentMillis) {}

    @ParameterizedTest
    @ValueSource(ints = {40, 80, 160})
    void overloadedServerStaysBusyWithAShortQueueAndFewResets(int requestsPerSecond) {
        SplittableRandom random = new SplittableRandom(requestsPerSecond);
        KnownServer owner = new KnownServer(
                new ServerEntry(
                        new ServerStart(new ServerId("s1"), 1), ORDERS, "10.0.0.1", 80, HERE, SLOTS, false, false),
                Optional.empty(),
                Optional.empty());
        RangeTable table = RangeTable.EMPTY.withRanges(
                ORDERS, List.of(new RangeOwnership(KeyRange.ALL, owner.start(), Optional.empty())));
        for (int i = 0; i < ENTRY_VMS; i++) {
            dispatchers.add(new RequestDispatcher(HERE, random.split()));
            dispatchers.get(i).onTopologyChanged(List.of(owner), table, 0);
        }
        for (long t = 0; t < RUN_MILLIS; t += 10) {
            for (int vm = 0; vm < ENTRY_VMS; vm++) {
                int evaluatedVm = vm;
                events.add(new Event(
                        t,
                        now -> applyDecisions(
                                evaluatedVm, dispatchers.get(evaluatedVm).reevaluate(now), now)));
            }
        }
        for (double t = 0; t < RUN_MILLIS; t += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond) {
            int vm = random.nextInt(ENTRY_VMS);
            events.add(new Event(
                    (long) t, now -> applyDecisions(vm, dispatchers.get(vm).submit(request(now), now), now)));
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            event.task().accept(event.atMillis());
        }
        double capacity = (RUN_MILLIS - WARM_UP_MILLIS) * SLOTS / (double) WORK_MILLIS;
        assertThat(answers / capacity).as("share of the capacity used").isGreaterThan(0.85);
        assertThat(atServerMillis / answers).as("mean time at the server").isLessThanOrEqualTo(TARGET_MILLIS);
        assertThat(resets).as("requests turned away of " + sends).isLessThanOrEqualTo(sends / 10);
    }

    private DispatchRequest request(long nowMillis) {
        return new DispatchRequest(
                ++nextNumber,
                ORDERS,
                OptionalInt.of(7),
                1,
                nowMillis + TARGET_MILLIS,
                nowMillis + DEADLINE_MILLIS,
                Set.of());
    }

    private void applyDecisions(int vm, List<Decision> decisions, long nowMillis) {
        for (Decision decision : decisions) {
            if (decision instanceof Decision.Send send) {
                events.add(new Event(nowMillis + 1, now -> arrive(new Sent(vm, send, nowMillis), now)));
            }
        }
    }

    private void arrive(Sent sent, long nowMillis) {
        boolean counts = nowMillis > WARM_UP_MILLIS;
        sends += counts ? 1 : 0;
        if (running < SLOTS) {
            run(sent, nowMillis);
        } else if (queue.size() < QUEUE) {
            queue.add(sent);
        } else {
            resets += counts ? 1 : 0;
            end(sent, AttemptResult.BROKEN, Optional.empty(), nowMillis + 1);
        }
    }

    private void run(Sent sent, long nowMillis) {
        running++;
        events.add(new Event(nowMillis + WORK_MILLIS, now -> {
            running--;
            if (!queue.isEmpty()) {
                run(queue.remove(0), now);
            }
            if (now > WARM_UP_MILLIS) {
                answers++;
                atServerMillis += now + 1 - sent.sentMillis();
            }
            LoadReport report = new LoadReport(running, queue.size(), SLOTS);
            end(sent, AttemptResult.ANSWERED, Optional.of(report), now + 1);
        }));
    }

    private void end(Sent sent, AttemptResult result, Optional<LoadReport> report, long atMillis) {
        events.add(new Event(atMillis, now -> {
            double elapsedMillis = now - sent.sentMillis();
            applyDecisions(
                    sent.vm(),
                    dispatchers.get(sent.vm()).onAttemptEnded(sent.send(), result, elapsedMillis, report, now),
                    now);
        }));
    }
}
