package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** Requests to servers that want none of this entry VM for a while. */
class ServerRestTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId DESK = new ServiceId("desk");
    private static final DataCentreId HERE = new DataCentreId("maras");
    private static final ServerStart OWNER = new ServerStart(new ServerId("s1"), 1);
    private static final ServerStart FIRST = new ServerStart(new ServerId("s2"), 1);
    private static final ServerStart SECOND = new ServerStart(new ServerId("s3"), 1);
    private static final long REST_ENDS_MILLIS = 13_000;

    private final RequestDispatcher dispatcher = new RequestDispatcher(HERE, new SplittableRandom(1));
    private long lastNumber;

    @BeforeEach
    void registerServers() {
        register(10_000, OWNER, FIRST, SECOND);
    }

    private void register(long nowMillis, ServerStart owner, ServerStart... deskServers) {
        List<KnownServer> known = new ArrayList<>();
        known.add(known(owner, ORDERS));
        for (ServerStart server : deskServers) {
            known.add(known(server, DESK));
        }
        RangeTable table = RangeTable.EMPTY.withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, owner)));
        dispatcher.onTopologyChanged(known, table, nowMillis);
    }

    private static KnownServer known(ServerStart server, ServiceId service) {
        return new KnownServer(
                new ServerEntry(server, service, "10.0.0.1", 8080, HERE, 2, false, false),
                Optional.empty(),
                Optional.empty());
    }

    private Decision submit(ServiceId service, long nowMillis) {
        OptionalInt key = service.equals(ORDERS) ? OptionalInt.of(7) : OptionalInt.empty();
        DispatchRequest request =
                new DispatchRequest(++lastNumber, service, key, 1, nowMillis + 300, nowMillis + 2_500, Set.of());
        return dispatcher.submit(request, nowMillis).get(0);
    }

    private void assertRefusedAsResting(Decision decision, long minRetryAfterMillis) {
        assertThat(decision).isInstanceOfSatisfying(Decision.Refuse.class, refusal -> {
            assertThat(refusal.cause()).isEqualTo(RefusalCause.RESTING);
            assertThat(refusal.retryAfterMillis()).isGreaterThanOrEqualTo(minRetryAfterMillis);
        });
    }

    /** Guards against requests to a resting owner, and callers who are told to come back during the rest. */
    @Test
    void requestsForKeysOfARestingOwnerAreRefusedUntilTheRestEnds() {
        dispatcher.onRestAsked(OWNER, REST_ENDS_MILLIS);
        assertRefusedAsResting(submit(ORDERS, 10_000), 3_000);
        assertRefusedAsResting(submit(ORDERS, 12_900), 100);
        assertThat(submit(ORDERS, REST_ENDS_MILLIS)).isInstanceOf(Decision.Send.class);
    }

    /** Guards against a request that was decided before the rest and gets its connection during it. */
    @Test
    void decidedRequestIsNotSentDuringTheRest() {
        Decision.Send send = (Decision.Send) submit(ORDERS, 10_000);
        assertThat(dispatcher.maySend(send, 10_001)).isTrue();
        dispatcher.onRestAsked(OWNER, REST_ENDS_MILLIS);
        assertThat(dispatcher.maySend(send, 10_002)).isFalse();
    }

    /** Guards against a rest that a later and shorter one cuts short. */
    @Test
    void shorterRestDoesNotEndALongerOne() {
        assertThat(dispatcher.onRestAsked(OWNER, REST_ENDS_MILLIS)).isTrue();
        assertThat(dispatcher.onRestAsked(OWNER, 10_500)).isFalse();
        assertRefusedAsResting(submit(ORDERS, 11_000), 2_000);
    }

    /** Guards against a rest that is forgotten when the server's entry is missing for a while. */
    @Test
    void restOutlastsAGapInTheRegistration() {
        dispatcher.onRestAsked(OWNER, REST_ENDS_MILLIS);
        register(10_100, FIRST);
        register(10_200, OWNER);
        assertRefusedAsResting(submit(ORDERS, 10_300), 2_000);
    }

    /** Guards against a rest that is taken over by the server's next start. */
    @Test
    void restEndsWithTheServersStart() {
        dispatcher.onRestAsked(OWNER, REST_ENDS_MILLIS);
        register(10_100, new ServerStart(OWNER.server(), 2));
        assertThat(submit(ORDERS, 10_200)).isInstanceOf(Decision.Send.class);
    }

    /** Guards against requests without key that go to a resting server although another one takes them. */
    @Test
    void requestsWithoutKeyGoToServersThatDoNotRest() {
        dispatcher.onRestAsked(FIRST, REST_ENDS_MILLIS);
        assertThat(submit(DESK, 10_000)).isInstanceOfSatisfying(Decision.Send.class, send -> assertThat(
                        send.server().start())
                .isEqualTo(SECOND));
        dispatcher.onRestAsked(SECOND, 12_000);
        assertRefusedAsResting(submit(DESK, 10_000), 2_000);
    }
}
