package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** Second attempts while some servers are idle, and under an overload. */
class RequestHedgeTest {
    private static final ServiceId DESK = new ServiceId("desk");
    private static final DataCentreId HERE = new DataCentreId("maras");
    private static final int SLOTS = 2;
    private static final long NOW_MILLIS = 10_000;

    private final RequestDispatcher dispatcher = new RequestDispatcher(HERE, new SplittableRandom(1));
    private long lastNumber;

    private void register(String... ids) {
        List<KnownServer> known = Stream.of(ids)
                .map(id -> new ServerEntry(
                        new ServerStart(new ServerId(id), 1), DESK, "10.0.0.1", 8080, HERE, SLOTS, false, false))
                .map(entry -> new KnownServer(entry, Optional.empty(), Optional.empty()))
                .toList();
        dispatcher.onTopologyChanged(known, RangeTable.EMPTY, NOW_MILLIS);
    }

    private DispatchRequest request(Set<ServerId> tried) {
        return new DispatchRequest(
                ++lastNumber, DESK, OptionalInt.empty(), 1, NOW_MILLIS + 2_000, NOW_MILLIS + 4_000, tried);
    }

    /** Submits a request and returns it as it is after it was sent. */
    private DispatchRequest sent() {
        Decision.Send send =
                (Decision.Send) dispatcher.submit(request(Set.of()), NOW_MILLIS).get(0);
        return request(Set.of(send.server().start().server()));
    }

    @Test
    void idleServerThatWasNotTriedIsOffered() {
        register("s1", "s2");
        DispatchRequest overdue = sent();
        Optional<Decision.Send> second = dispatcher.hedge(overdue, NOW_MILLIS);
        assertThat(second).isPresent();
        assertThat(overdue.triedServers())
                .doesNotContain(second.get().server().start().server());
    }

    /** Guards against hedges that queue at busy servers, and so slow down other callers' requests. */
    @Test
    void noServerIsOfferedWhileAllSlotsAreBusy() {
        register("s1", "s2");
        DispatchRequest overdue = sent();
        for (int i = 1; i < 2 * SLOTS; i++) {
            sent();
        }
        assertThat(dispatcher.hedge(overdue, NOW_MILLIS)).isEmpty();
    }

    /** Guards against hedges that feed an overload: requests that wait come before second attempts. */
    @Test
    void noServerIsOfferedWhileRequestsWait() {
        register("s1", "s2");
        DispatchRequest overdue = sent();
        Decision.Send busy =
                (Decision.Send) dispatcher.submit(request(Set.of()), NOW_MILLIS).get(0);
        while (dispatcher.waitingCount() == 0) {
            dispatcher.submit(request(Set.of()), NOW_MILLIS);
        }
        dispatcher.onAttemptEnded(busy, AttemptResult.ANSWERED, 100, Optional.empty(), NOW_MILLIS);
        assertThat(dispatcher.hedge(overdue, NOW_MILLIS)).isEmpty();
    }

    @Test
    void requestWhoseOnlyOtherServerIsColdIsNotHedged() {
        register("s1");
        DispatchRequest overdue = sent();
        ServerEntry cold = new ServerEntry(
                new ServerStart(new ServerId("s2"), 1), DESK, "10.0.0.2", 8080, HERE, SLOTS, false, true);
        ServerEntry first = new ServerEntry(
                new ServerStart(new ServerId("s1"), 1), DESK, "10.0.0.1", 8080, HERE, SLOTS, false, false);
        dispatcher.onTopologyChanged(
                List.of(
                        new KnownServer(first, Optional.empty(), Optional.empty()),
                        new KnownServer(cold, Optional.empty(), Optional.empty())),
                RangeTable.EMPTY,
                NOW_MILLIS);
        assertThat(dispatcher.hedge(overdue, NOW_MILLIS)).isEmpty();
    }
}
