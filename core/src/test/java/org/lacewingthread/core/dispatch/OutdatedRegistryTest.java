package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
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

/** Requests while the view of the registry is so old that any server may have left since (DRAIN, issue 43). */
class OutdatedRegistryTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final DataCentreId HERE = new DataCentreId("maras");
    private static final ServerStart SERVER = new ServerStart(new ServerId("s1"), 1);

    private boolean registryIsCurrent = true;
    private final RequestDispatcher dispatcher =
            new RequestDispatcher(HERE, new SplittableRandom(1), new SendGate(() -> registryIsCurrent, () -> true));

    private static DispatchRequest request(OptionalInt key) {
        return new DispatchRequest(1, ORDERS, key, 1, 300, 800, Set.of());
    }

    private void knowServer(Optional<Long> acceptsUntilMillis) {
        ServerEntry entry = new ServerEntry(SERVER, ORDERS, "10.0.0.1", 8080, HERE, 2, false, false);
        RangeTable owned = RangeTable.EMPTY.withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, SERVER)));
        dispatcher.onTopologyChanged(List.of(new KnownServer(entry, acceptsUntilMillis, Optional.empty())), owned, 0);
    }

    private static Decision.Send onlySend(List<Decision> decisions) {
        assertThat(decisions).singleElement().isInstanceOf(Decision.Send.class);
        return (Decision.Send) decisions.get(0);
    }

    /** Guards against a VM that decides by a view which it has had no time to renew. */
    @Test
    void requestsWaitUntilTheRegistryIsKnownAgain() {
        for (OptionalInt key : List.of(OptionalInt.empty(), OptionalInt.of(7))) {
            knowServer(Optional.empty());
            registryIsCurrent = false;
            assertThat(dispatcher.submit(request(key), 0)).isEmpty();
            registryIsCurrent = true;
            assertThat(onlySend(dispatcher.reevaluate(50)).server().start()).isEqualTo(SERVER);
        }
    }

    /** Guards against callers that wait until it is too late for another VM. */
    @Test
    void waitingRequestIsRefusedBeforeItsTarget() {
        knowServer(Optional.empty());
        registryIsCurrent = false;
        dispatcher.submit(request(OptionalInt.empty()), 0);
        assertThat(dispatcher.reevaluate(199)).isEmpty();
        assertThat(dispatcher.reevaluate(200))
                .singleElement()
                .extracting(decision -> ((Decision.Refuse) decision).cause())
                .isEqualTo(RefusalCause.REGISTRY_OUTDATED);
    }

    /** Guards against a request that is decided in time and gets its connection when the view is too old. */
    @Test
    void decidedRequestIsCheckedAgainWhenItIsSent() {
        for (OptionalInt key : List.of(OptionalInt.empty(), OptionalInt.of(7))) {
            knowServer(Optional.empty());
            registryIsCurrent = true;
            Decision.Send send = onlySend(dispatcher.submit(request(key), 0));
            registryIsCurrent = false;
            assertThat(dispatcher.maySend(send, 100)).isFalse();
            registryIsCurrent = true;
            assertThat(dispatcher.maySend(send, 100)).isTrue();
        }
    }

    /** Guards against keys that nobody serves while their owner is known to leave and still takes requests. */
    @Test
    void ownerThatIsKnownToLeaveGetsItsKeysUntilItsTimeIsOver() {
        knowServer(Optional.of(500L));
        registryIsCurrent = false;
        Decision.Send send = onlySend(dispatcher.submit(request(OptionalInt.of(7)), 0));
        assertThat(dispatcher.maySend(send, 499)).isTrue();
        assertThat(dispatcher.maySend(send, 500)).isFalse();
    }
}
