package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry;

/** Requests for the keys of a server that leaves, from the registry's record to the decision. */
class LeavingOwnerTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final DataCentreId HERE = new DataCentreId("maras");
    private static final ServerStart OWNER = new ServerStart(new ServerId("s1"), 1);
    /** The platform's time for a drain, within which requests must have stopped to arrive. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final RangeTable TABLE =
            RangeTable.EMPTY.withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, OWNER)));

    private final ServerRegistry registry = new ServerRegistry(2_000, DRAIN_MILLIS);
    private final RequestDispatcher dispatcher = new RequestDispatcher(HERE, new SplittableRandom(1));
    private long lastNumber;

    private static ServerEntry owner(boolean draining) {
        return new ServerEntry(OWNER, ORDERS, "10.0.0.1", 8080, HERE, 2, draining, false);
    }

    @BeforeEach
    void registerOwner() {
        registry.onReachable(0);
        registry.replaceAll(List.of(owner(false)), 10_000);
        registry.onCurrent(10_000);
    }

    private Decision decideAt(long nowMillis) {
        dispatcher.onTopologyChanged(registry.servers(nowMillis), TABLE, nowMillis);
        DispatchRequest request = new DispatchRequest(
                ++lastNumber, ORDERS, OptionalInt.of(7), 1, nowMillis + 300, nowMillis + 800, Set.of());
        return dispatcher.submit(request, nowMillis).get(0);
    }

    @Test
    void leavingOwnerGetsRequestsWhileItsKeysMove() {
        registry.put(owner(true));
        assertThat(decideAt(11_100)).isInstanceOf(Decision.Send.class);
    }

    /** Guards against a grace that starts when the VM sees the drain, however long after its acceptance that is. */
    @Test
    void ownerWhoseDrainIsSeenLateGetsNoRequestAfterTheDrainTime() {
        registry.put(owner(true));
        assertThat(decideAt(10_000 + DRAIN_MILLIS))
                .isInstanceOfSatisfying(Decision.Refuse.class, refusal -> assertThat(refusal.cause())
                        .isEqualTo(RefusalCause.OWNER_GONE));
    }

    /** Guards against the same for a server whose entry is removed without a drain. */
    @Test
    void ownerWhoseRemovalIsSeenLateGetsNoRequestAfterTheDrainTime() {
        registry.remove(OWNER.server(), 11_700);
        assertThat(decideAt(10_000 + DRAIN_MILLIS)).isInstanceOf(Decision.Refuse.class);
    }

    /** Guards against a drain whose time starts anew when the entry is read again after its removal. */
    @Test
    void drainThatIsReadAfterTheRemovalDoesNotExtendTheTime() {
        registry.remove(OWNER.server(), 10_100);
        registry.onCurrent(11_000);
        registry.put(owner(true));
        assertThat(decideAt(10_000 + DRAIN_MILLIS)).isInstanceOf(Decision.Refuse.class);
    }

    /** Guards against requests to a server that was already leaving when this VM first read the registry. */
    @Test
    void ownerThatWasLeavingBeforeTheFirstReadGetsNoRequest() {
        ServerRegistry fresh = new ServerRegistry(2_000, DRAIN_MILLIS);
        fresh.replaceAll(List.of(owner(true)), 20_000);
        dispatcher.onTopologyChanged(fresh.servers(20_000), TABLE, 20_000);
        DispatchRequest request = new DispatchRequest(1, ORDERS, OptionalInt.of(7), 1, 20_300, 20_800, Set.of());
        assertThat(dispatcher.submit(request, 20_000)).singleElement().isInstanceOf(Decision.Refuse.class);
    }

    /** Guards against requests to a server that says that it leaves while its entry still says that it is ready. */
    @Test
    void ownerThatAnnouncedItsLeavingGetsNoRequestAfterTheDrainTime() {
        assertThat(registry.onLeavingAnnounced(OWNER, 10_500)).isTrue();
        registry.put(owner(false));
        assertThat(decideAt(12_000)).isInstanceOf(Decision.Send.class);
        registry.onCurrent(12_400);
        registry.put(owner(false));
        assertThat(decideAt(10_500 + DRAIN_MILLIS)).isInstanceOf(Decision.Refuse.class);
    }

    /** Guards against a drain that is seen late and prolongs the time of the announcement, and the reverse. */
    @Test
    void earlierOfAnnouncementAndDrainHolds() {
        registry.onLeavingAnnounced(OWNER, 10_500);
        registry.onCurrent(11_500);
        registry.put(owner(true));
        assertThat(decideAt(10_500 + DRAIN_MILLIS)).isInstanceOf(Decision.Refuse.class);
        ServerStart again = new ServerStart(OWNER.server(), 2);
        registry.put(new ServerEntry(again, ORDERS, "10.0.0.1", 8080, HERE, 2, false, false));
        assertThat(registry.servers(13_000).get(0).isReady()).isTrue();
    }
}
