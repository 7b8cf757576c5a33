package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

class RequestDispatcherTest {
    private static final ServiceId DESK = new ServiceId("desk");
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final DataCentreId HERE = new DataCentreId("maras");

    private final RequestDispatcher dispatcher = new RequestDispatcher(HERE, new SplittableRandom(1));
    private long nextNumber;

    private static KnownServer server(String id, ServiceId service) {
        ServerEntry entry =
                new ServerEntry(new ServerStart(new ServerId(id), 1), service, "10.0.0.1", 8080, HERE, 2, false, false);
        return new KnownServer(entry, Optional.empty(), Optional.empty());
    }

    private DispatchRequest request(ServiceId service, int priority, long deadlineMillis) {
        return new DispatchRequest(
                ++nextNumber, service, OptionalInt.empty(), priority, deadlineMillis, deadlineMillis, Set.of());
    }

    private DispatchRequest keyed(int key, long targetMillis, long deadlineMillis) {
        return new DispatchRequest(
                ++nextNumber, ORDERS, OptionalInt.of(key), 1, targetMillis, deadlineMillis, Set.of());
    }

    private static RangeTable ownedBy(KnownServer owner, Optional<ServerStart> movingFrom) {
        return RangeTable.EMPTY.withRanges(
                ORDERS, List.of(new RangeOwnership(KeyRange.ALL, owner.start(), movingFrom)));
    }

    private static List<Decision.Send> sends(List<Decision> decisions) {
        return decisions.stream()
                .filter(Decision.Send.class::isInstance)
                .map(Decision.Send.class::cast)
                .toList();
    }

    private static List<Decision.Refuse> refusals(List<Decision> decisions) {
        return decisions.stream()
                .filter(Decision.Refuse.class::isInstance)
                .map(Decision.Refuse.class::cast)
                .toList();
    }

    @Test
    void keyedRequestGoesToTheOwnerOfItsKey() {
        KnownServer owner = server("s1", ORDERS);
        dispatcher.onTopologyChanged(List.of(server("s0", ORDERS), owner), ownedBy(owner, Optional.empty()), 0);
        List<Decision> decisions = dispatcher.submit(keyed(7, 300, 800), 0);
        assertThat(sends(decisions))
                .singleElement()
                .satisfies(send -> assertThat(send.server().start()).isEqualTo(owner.start()));
    }

    @Test
    void keyedRequestWaitsWhileItsKeyMovesAndIsSentAfterwards() {
        KnownServer owner = server("s1", ORDERS);
        KnownServer former = server("s0", ORDERS);
        dispatcher.onTopologyChanged(List.of(former, owner), ownedBy(owner, Optional.of(former.start())), 0);
        assertThat(dispatcher.submit(keyed(7, 300, 800), 0)).isEmpty();
        List<Decision> decisions =
                dispatcher.onTopologyChanged(List.of(former, owner), ownedBy(owner, Optional.empty()), 50);
        assertThat(sends(decisions)).hasSize(1);
    }

    /** Load pattern: requests pile up for one owner, which the leader must learn of at once; other services don't count. */
    @Test
    void onlyRequestsThatWaitForOwnersCountAsKeyedWaiting() {
        KnownServer owner = server("s1", ORDERS);
        dispatcher.onTopologyChanged(List.of(owner, server("s2", DESK)), ownedBy(owner, Optional.empty()), 0);
        for (int i = 0; i < 6; i++) {
            dispatcher.submit(keyed(7, 900, 1_800), 0);
            dispatcher.submit(request(DESK, 0, 1_800), 0);
        }
        assertThat(dispatcher.keyedWaitingCount()).isEqualTo(2);
        assertThat(dispatcher.waitingCount()).isEqualTo(4);
    }

    @Test
    void keyedRequestWithoutOwnerIsRefusedBeforeItsTarget() {
        dispatcher.onTopologyChanged(List.of(), RangeTable.EMPTY, 0);
        assertThat(dispatcher.submit(keyed(7, 300, 800), 0)).isEmpty();
        assertThat(refusals(dispatcher.reevaluate(250))).singleElement().satisfies(refusal -> {
            assertThat(refusal.cause()).isEqualTo(RefusalCause.NO_OWNER);
            assertThat(refusal.retryAfterMillis()).isPositive();
        });
    }

    @Test
    void requestForServiceWithoutServersIsRefusedImmediately() {
        dispatcher.onTopologyChanged(List.of(), RangeTable.EMPTY, 0);
        assertThat(refusals(dispatcher.submit(request(DESK, 0, 500), 0)))
                .extracting(Decision.Refuse::cause)
                .containsExactly(RefusalCause.NO_SERVER);
    }

    /** Strict priority: under overload the most urgent waiting request is sent first. */
    @Test
    void freedCapacityGoesToTheMostUrgentWaitingRequest() {
        dispatcher.onTopologyChanged(List.of(server("s0", DESK)), RangeTable.EMPTY, 0);
        List<Decision.Send> sent = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sent.addAll(sends(dispatcher.submit(request(DESK, 2, 2_500), 0)));
        }
        assertThat(sent).hasSize(4);
        DispatchRequest low = request(DESK, 2, 2_500);
        DispatchRequest high = request(DESK, 0, 2_500);
        assertThat(dispatcher.submit(low, 0)).isEmpty();
        assertThat(dispatcher.submit(high, 0)).isEmpty();
        List<Decision> next = dispatcher.onAttemptEnded(sent.get(0), AttemptResult.ANSWERED, 50, Optional.empty(), 50);
        assertThat(sends(next)).extracting(Decision.Send::request).containsExactly(high);
    }

    /** Load shedding: a request that can't be answered in time is refused early enough for its caller to react. */
    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedImmediately() {
        dispatcher.onTopologyChanged(List.of(server("s0", DESK)), RangeTable.EMPTY, 0);
        List<Decision> last = List.of();
        for (int i = 0; i < 60; i++) {
            last = dispatcher.submit(request(DESK, 1, 1_000), 0);
        }
        assertThat(refusals(last)).singleElement().satisfies(refusal -> {
            assertThat(refusal.cause()).isEqualTo(RefusalCause.OVERLOADED);
            assertThat(refusal.retryAfterMillis()).isPositive();
        });
    }

    /** Outlier ejection: a server whose attempts fail receives no requests for a while. */
    @Test
    void serverIsEjectedAfterConsecutiveFailures() {
        dispatcher.onTopologyChanged(List.of(server("s0", DESK), server("s1", DESK)), RangeTable.EMPTY, 0);
        int failures = 0;
        long nowMillis = 0;
        for (int i = 0; i < 100 && failures < 3; i++) {
            // Longer than the backoff after a failure.
            nowMillis += 400;
            Decision.Send send = sends(dispatcher.submit(request(DESK, 1, nowMillis + 5_000), nowMillis))
                    .get(0);
            boolean bad = send.server().start().server().value().equals("s0");
            failures += bad ? 1 : 0;
            dispatcher.onAttemptEnded(
                    send, bad ? AttemptResult.BROKEN : AttemptResult.ANSWERED, 100, Optional.empty(), nowMillis);
        }
        assertThat(failures).isEqualTo(3);
        for (int i = 0; i < 4; i++) {
            assertThat(sends(dispatcher.submit(request(DESK, 1, nowMillis + 5_000), nowMillis + 500))
                            .get(0)
                            .server()
                            .start()
                            .server()
                            .value())
                    .isEqualTo("s1");
        }
    }

    @Test
    void replacedServerReceivesNoFurtherRequests() {
        KnownServer owner = server("s1", ORDERS);
        dispatcher.onTopologyChanged(List.of(owner), ownedBy(owner, Optional.empty()), 0);
        Decision.Send send = sends(dispatcher.submit(keyed(7, 300, 800), 0)).get(0);
        dispatcher.onAttemptEnded(send, AttemptResult.REPLACED, 2, Optional.empty(), 2);
        assertThat(refusals(dispatcher.submit(keyed(7, 310, 800), 10)))
                .extracting(Decision.Refuse::cause)
                .containsExactly(RefusalCause.OWNER_GONE);
    }

    /**
     * Backoff instead of ejection: an owner that is full may reset connections, and no other server can
     * run the request.
     */
    @Test
    void ownerThatBreaksConnectionsIsBackedOffFromButKept() {
        KnownServer owner = server("s1", ORDERS);
        dispatcher.onTopologyChanged(List.of(owner), ownedBy(owner, Optional.empty()), 0);
        long nowMillis = 0;
        for (int i = 0; i < 6; i++) {
            List<Decision> decisions = dispatcher.submit(keyed(7 + i, nowMillis + 300, nowMillis + 2_500), nowMillis);
            assertThat(refusals(decisions)).isEmpty();
            if (decisions.isEmpty()) {
                nowMillis += 1_000;
                decisions = dispatcher.reevaluate(nowMillis);
            }
            Decision.Send send = sends(decisions).get(0);
            dispatcher.onAttemptEnded(send, AttemptResult.BROKEN, 2, Optional.empty(), nowMillis);
        }
    }

    @Test
    void requestForUnreachableOwnerIsRefusedImmediately() {
        KnownServer owner = server("s1", ORDERS);
        dispatcher.onTopologyChanged(List.of(owner), ownedBy(owner, Optional.empty()), 0);
        Decision.Send send = sends(dispatcher.submit(keyed(7, 300, 800), 0)).get(0);
        dispatcher.onAttemptEnded(send, AttemptResult.NOT_SENT, 400, Optional.empty(), 400);
        assertThat(refusals(dispatcher.submit(keyed(8, 710, 1_200), 410)))
                .extracting(Decision.Refuse::cause)
                .containsExactly(RefusalCause.OWNER_UNREACHABLE);
    }

    /** Connection limit shared by all entry VMs: servers reset connections above it. */
    @Test
    void requestsInFlightAtAServerStayWithinItsConnectionLimit() {
        KnownServer owner = server("s1", ORDERS);
        dispatcher.onTopologyChanged(List.of(owner), ownedBy(owner, Optional.empty()), 0);
        dispatcher.onConnectionLimits(Map.of(ORDERS, 1));
        assertThat(sends(dispatcher.submit(keyed(7, 300, 800), 0))).hasSize(1);
        assertThat(sends(dispatcher.submit(keyed(8, 300, 800), 0))).isEmpty();
    }

    /** Zone-aware balancing: traffic between data centres costs more than a short wait. */
    @Test
    void requestStaysInItsDataCentreWhileALocalServerCanMeetTheTarget() {
        KnownServer near = server("s0", DESK);
        ServerEntry away = new ServerEntry(
                new ServerStart(new ServerId("s1"), 1),
                DESK,
                "10.0.0.2",
                8080,
                new DataCentreId("away"),
                2,
                false,
                false);
        dispatcher.onTopologyChanged(
                List.of(near, new KnownServer(away, Optional.empty(), Optional.empty())), RangeTable.EMPTY, 0);
        List<String> chosen = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sends(dispatcher.submit(request(DESK, 1, 280), 0))
                    .forEach(send -> chosen.add(send.server().start().server().value()));
        }
        assertThat(chosen).startsWith("s0", "s0", "s0", "s1");
    }

    /** Least expected time: requests go to the servers that are idle. */
    @Test
    void requestsAreSpreadEvenlyOverIdleServers() {
        dispatcher.onTopologyChanged(
                List.of(server("s0", DESK), server("s1", DESK), server("s2", DESK)), RangeTable.EMPTY, 0);
        Map<String, Long> counts = new java.util.TreeMap<>();
        for (int i = 0; i < 6; i++) {
            sends(dispatcher.submit(request(DESK, 1, 5_000), 0))
                    .forEach(send -> counts.merge(send.server().start().server().value(), 1L, Long::sum));
        }
        assertThat(counts).containsOnly(Map.entry("s0", 2L), Map.entry("s1", 2L), Map.entry("s2", 2L));
    }
}
