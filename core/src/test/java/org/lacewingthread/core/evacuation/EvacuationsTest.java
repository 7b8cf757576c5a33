package org.lacewingthread.core.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.dispatch.DispatchRequest;
import org.lacewingthread.core.dispatch.RefusalCause;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.dispatch.SendGate;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.RegistryFreshness;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry;

/** Requests to servers in evacuated data centres, from the platform's record to the decision. */
class EvacuationsTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final DataCentreId MARAS = new DataCentreId("maras");
    private static final DataCentreId ILEX = new DataCentreId("ilex");
    private static final ServerStart OWNER = new ServerStart(new ServerId("s1"), 1);
    private static final ServerStart OTHER = new ServerStart(new ServerId("s2"), 1);
    private static final long EVACUATE_MILLIS = 5_000;
    /** Last view without the evacuation; no request may be sent 4,750 ms after it. */
    private static final long VIEW_MILLIS = 10_000;

    private static final RangeTable TABLE =
            RangeTable.EMPTY.withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, OWNER)));

    private final AtomicLong nowMillis = new AtomicLong(VIEW_MILLIS);
    private final RegistryFreshness freshness =
            new RegistryFreshness(EVACUATE_MILLIS, 10_000, nowMillis::get, nowMillis::get);
    private final Evacuations evacuations = new Evacuations(EVACUATE_MILLIS, freshness);
    private final ServerRegistry registry = new ServerRegistry(2_000, 2_000);
    private final RequestDispatcher dispatcher =
            new RequestDispatcher(MARAS, new SplittableRandom(1), new SendGate(() -> true, freshness::allowsRequests));
    private long lastNumber;

    private static ServerEntry entry(ServerStart server, DataCentreId dataCentre, boolean draining) {
        return new ServerEntry(server, ORDERS, "10.0.0.1", 8080, dataCentre, 4, draining, false);
    }

    @BeforeEach
    void registerServers() {
        registry.onReachable(0);
        registry.replaceAll(List.of(entry(OWNER, MARAS, false), entry(OTHER, ILEX, false)), VIEW_MILLIS);
        registry.onCurrent(VIEW_MILLIS);
        evacuations.onCurrent(VIEW_MILLIS);
    }

    private Decision decideAt(long millis, OptionalInt key) {
        nowMillis.set(millis);
        dispatcher.onTopologyChanged(evacuations.applyTo(registry.servers(millis)), TABLE, millis);
        DispatchRequest request =
                new DispatchRequest(++lastNumber, ORDERS, key, 1, millis + 300, millis + 800, Set.of());
        return dispatcher.submit(request, millis).stream().findFirst().orElse(null);
    }

    private Decision decideKeyedAt(long millis) {
        return decideAt(millis, OptionalInt.of(7));
    }

    private static void assertRefused(Decision decision, RefusalCause cause) {
        assertThat(decision).isInstanceOfSatisfying(Decision.Refuse.class, refusal -> assertThat(refusal.cause())
                .isEqualTo(cause));
    }

    /** Guards against a deadline that counts from the read, which may be seconds after the store's acceptance. */
    @Test
    void deadlineCountsFromTheLastViewWithoutTheEvacuation() {
        assertThat(evacuations.begin(MARAS, 11_900)).isTrue();
        evacuations.onCurrent(11_900);
        Decision.Send send = (Decision.Send) decideKeyedAt(14_749);
        assertThat(dispatcher.maySend(send, 14_749)).isTrue();
        assertThat(dispatcher.maySend(send, 14_750)).isFalse();
        assertRefused(decideKeyedAt(14_750), RefusalCause.EVACUATED);
    }

    /** Guards against unkeyed requests that use the time left to the owners of keys. */
    @Test
    void requestsWithoutKeyAvoidTheDataCentreAtOnce() {
        evacuations.begin(MARAS, 10_100);
        for (int i = 0; i < 4; i++) {
            Decision decision = decideAt(10_100, OptionalInt.empty());
            assertThat(((Decision.Send) decision).server().start()).isEqualTo(OTHER);
        }
    }

    /** Guards against callers that wait for servers that no request can reach. */
    @Test
    void requestsAreRefusedAtOnceWhileAllDataCentresAreEvacuated() {
        evacuations.begin(MARAS, 10_100);
        evacuations.begin(ILEX, 10_100);
        assertRefused(decideAt(10_200, OptionalInt.empty()), RefusalCause.EVACUATED);
        assertThat(decideKeyedAt(10_200)).isInstanceOf(Decision.Send.class);
        assertRefused(decideKeyedAt(14_750), RefusalCause.EVACUATED);
        RangeTable moving = RangeTable.EMPTY.withRanges(
                ORDERS, List.of(new RangeOwnership(KeyRange.ALL, OTHER, Optional.of(OWNER))));
        dispatcher.onTopologyChanged(evacuations.applyTo(registry.servers(14_750)), moving, 14_750);
        DispatchRequest request = new DispatchRequest(99, ORDERS, OptionalInt.of(7), 1, 15_050, 15_550, Set.of());
        assertRefused(dispatcher.submit(request, 14_750).get(0), RefusalCause.EVACUATED);
    }

    /** Guards against an evacuation that prolongs a drain, and a drain that prolongs an evacuation. */
    @Test
    void earlierOfDrainAndEvacuationHolds() {
        registry.put(entry(OWNER, MARAS, true));
        evacuations.begin(MARAS, 10_100);
        assertThat(decideKeyedAt(11_749)).isInstanceOf(Decision.Send.class);
        assertRefused(decideKeyedAt(11_750), RefusalCause.EVACUATED);
        registry.onCurrent(14_600);
        registry.put(entry(new ServerStart(OWNER.server(), 2), MARAS, true));
        assertThat(evacuations.applyTo(registry.servers(14_600)).get(0).acceptsUntilMillis())
                .contains(14_750L);
    }

    /** Guards against a record that is written again and prolongs the deadline, and a second one dated by the first. */
    @Test
    void repeatedEvacuationHasADeadlineOfItsOwnOnlyAfterItsEnd() {
        evacuations.begin(MARAS, 10_100);
        evacuations.onCurrent(12_000);
        assertThat(evacuations.begin(MARAS, 12_100)).isFalse();
        assertThat(evacuations.acceptsUntilMillis(MARAS)).contains(14_750L);
        assertThat(evacuations.end(MARAS)).isTrue();
        assertThat(decideKeyedAt(12_200)).isInstanceOf(Decision.Send.class);
        evacuations.begin(MARAS, 12_300);
        assertThat(evacuations.acceptsUntilMillis(MARAS)).contains(16_750L);
    }

    /** Guards against requests to a data centre whose evacuation this VM has had no chance to learn of. */
    @Test
    void requestsAreWithheldWhileTheViewIsOldUnlessTheStoreIsSilent() {
        assertThat(decideKeyedAt(14_749)).isInstanceOf(Decision.Send.class);
        assertThat(decideKeyedAt(14_750)).isNull();
        registry.put(entry(OWNER, MARAS, true));
        assertThat(decideAt(14_750, OptionalInt.empty())).isNull();
        registry.put(entry(OWNER, MARAS, false));
        evacuations.onStoreSilent();
        assertThat(decideKeyedAt(14_750)).isInstanceOf(Decision.Send.class);
        // A late confirmation of an old view is no answer of the store.
        evacuations.onCurrent(9_000);
        assertThat(decideKeyedAt(14_760)).isInstanceOf(Decision.Send.class);
    }

    /** Guards against a store that falls silent and lets requests into a data centre known to be evacuated. */
    @Test
    void knownEvacuationHoldsWhileTheStoreIsSilent() {
        evacuations.begin(MARAS, 10_100);
        evacuations.onStoreSilent();
        assertRefused(decideKeyedAt(60_000), RefusalCause.EVACUATED);
    }

    /** Guards against servers that come back cold and get their usual load by entries of before. */
    @Test
    void serversCountAsColdUntilTheRegistryIsKnownAfterTheEvacuation() {
        registry.suspectCold(MARAS, 12_000);
        registry.onCurrent(11_999);
        registry.put(entry(OWNER, MARAS, false));
        assertThat(registry.servers(12_500).get(0).entry().cold()).isTrue();
        assertThat(registry.servers(12_500).get(1).entry().cold()).isFalse();
        registry.onCurrent(12_000);
        assertThat(registry.servers(12_500).get(0).entry().cold()).isFalse();
    }
}
