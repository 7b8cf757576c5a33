package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.dispatch.DispatchDescription.Outcome;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** Descriptions of decisions for operators; the decisions themselves are tested elsewhere. */
class DispatchDescriptionTest {
    private static final ServiceId DESK = new ServiceId("desk");
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final DataCentreId HERE = new DataCentreId("maras");
    private static final SendGate OPEN = new SendGate(() -> true, () -> true);
    private static final SendGate OUTDATED = new SendGate(() -> false, () -> true);
    private static final long NOW_MILLIS = 10_000;

    private final RequestDispatcher dispatcher = new RequestDispatcher(HERE, new SplittableRandom(1));
    private long lastNumber;

    private static KnownServer server(String id, ServiceId service, boolean cold) {
        ServerStart start = new ServerStart(new ServerId(id), 1);
        return new KnownServer(
                new ServerEntry(start, service, "10.0.0.1", 8080, HERE, 2, false, cold),
                Optional.empty(),
                Optional.empty());
    }

    private static KnownServer desk(int number) {
        return server("d" + number, DESK, false);
    }

    private void register(KnownServer... known) {
        dispatcher.onTopologyChanged(List.of(known), RangeTable.EMPTY, NOW_MILLIS);
    }

    private static RangeTable ownedBy(KnownServer owner) {
        return RangeTable.EMPTY.withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, owner.start())));
    }

    private DispatchRequest request(ServiceId service) {
        OptionalInt key = service.equals(ORDERS) ? OptionalInt.of(7) : OptionalInt.empty();
        return new DispatchRequest(++lastNumber, service, key, 1, NOW_MILLIS + 500, NOW_MILLIS + 2_500, Set.of());
    }

    private DispatchDescription describe(ServiceId service) {
        return dispatcher.describe(request(service), OPEN, NOW_MILLIS);
    }

    private static void assertRefused(DispatchDescription description, RefusalCause cause) {
        assertThat(description.outcome()).isEqualTo(Outcome.REFUSE);
        assertThat(description.cause()).contains(cause);
        assertThat(description.retryAfterMillis()).isPositive();
    }

    /** Guards against a description that takes slots, permits, places in queues or random numbers from real requests. */
    @Test
    void descriptionsLeaveNoTraceInLaterDecisions() {
        assertThat(decisions(true)).isEqualTo(decisions(false)).hasSizeGreaterThan(200);
    }

    private static List<String> decisions(boolean described) {
        RequestDispatcher dispatcher = new RequestDispatcher(HERE, new SplittableRandom(7));
        KnownServer owner = server("o1", ORDERS, true);
        List<KnownServer> known = List.of(owner, desk(1), server("d2", DESK, true), desk(3));
        dispatcher.coldServers().setRates(new ColdRates(Map.of(DESK, 5.0, ORDERS, 5.0)), 0);
        dispatcher.onTopologyChanged(known, ownedBy(owner), 0);
        dispatcher.onLimitNamed(desk(3).start(), new NamedLimit(4), 0);
        dispatcher.onEntryVmCount(2);
        List<String> log = new ArrayList<>();
        List<Decision.Send> underway = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            long nowMillis = step * 17L;
            ServiceId service = step % 3 == 0 ? ORDERS : DESK;
            OptionalInt key = service.equals(ORDERS) ? OptionalInt.of(step % 100) : OptionalInt.empty();
            DispatchRequest request =
                    new DispatchRequest(step, service, key, step % 2, nowMillis + 300, nowMillis + 900, Set.of());
            if (described) {
                dispatcher.describe(request, OPEN, nowMillis);
            }
            if (step == 200) {
                dispatcher.onEntryVmCount(5);
            }
            List<Decision> decided = new ArrayList<>(dispatcher.submit(request, nowMillis));
            decided.addAll(dispatcher.reevaluate(nowMillis));
            if (underway.size() > 4) {
                decided.addAll(dispatcher.onAttemptEnded(
                        underway.remove(0), AttemptResult.ANSWERED, 80, Optional.empty(), nowMillis));
            }
            for (Decision decision : decided) {
                log.add(decision.toString());
                if (decision instanceof Decision.Send send) {
                    underway.add(send);
                }
            }
        }
        return log;
    }

    /** Guards against a preview that names another server than the one that the request then goes to. */
    @Test
    void keyedRequestIsDescribedWithItsOwnerAndThenSentThere() {
        KnownServer owner = server("s1", ORDERS, false);
        dispatcher.onTopologyChanged(List.of(server("s0", ORDERS, false), owner), ownedBy(owner), NOW_MILLIS);
        DispatchDescription description = describe(ORDERS);
        assertThat(description.outcome()).isEqualTo(Outcome.SEND);
        assertThat(description.server()).contains(owner.start());
        assertThat(description.ownership().orElseThrow().owner()).isEqualTo(owner.start());
        assertThat(description.candidates())
                .extracting(CandidateDescription::server)
                .containsExactly(owner.start());
        assertThat(dispatcher.submit(request(ORDERS), NOW_MILLIS))
                .singleElement()
                .isInstanceOfSatisfying(
                        Decision.Send.class,
                        send -> assertThat(send.server().start()).isEqualTo(owner.start()));
    }

    /** Guards against an answer that leaves an owner which left out of the reasons. */
    @Test
    void keyWithoutOwnerWaitsAndKeyOfAnUnknownServerIsRefused() {
        register(desk(1));
        DispatchDescription without = describe(ORDERS);
        assertThat(without.outcome()).isEqualTo(Outcome.WAIT);
        assertThat(without.cause()).contains(RefusalCause.NO_OWNER);
        assertThat(without.ownership()).isEmpty();
        KnownServer gone = server("s9", ORDERS, false);
        dispatcher.onTopologyChanged(List.of(), ownedBy(gone), NOW_MILLIS);
        DispatchDescription unknown = describe(ORDERS);
        assertRefused(unknown, RefusalCause.OWNER_GONE);
        assertThat(unknown.ownership().orElseThrow().owner()).isEqualTo(gone.start());
        assertThat(unknown.candidates()).isEmpty();
    }

    /** Guards against a refusal for coldness that doesn't show which rate is used up. */
    @Test
    void coldServerWithoutSlotIsShownWithItsRate() {
        dispatcher.coldServers().setRates(new ColdRates(Map.of(DESK, 2.0)), NOW_MILLIS);
        register(server("d1", DESK, true));
        DispatchDescription description = describe(DESK);
        assertRefused(description, RefusalCause.LIMITED);
        CandidateDescription cold = description.candidates().get(0);
        assertThat(cold.state()).isEqualTo(CandidateState.LIMITED);
        assertThat(cold.cold()).isTrue();
        assertThat(cold.coldPerSecond()).hasValue(2.0);
    }

    /** Guards against "sent" for a request that the leader has yet to permit. */
    @Test
    void ownerWithANamedLimitNeedsTheLeadersPermit() {
        KnownServer owner = server("s1", ORDERS, false);
        dispatcher.onTopologyChanged(List.of(owner), ownedBy(owner), NOW_MILLIS);
        dispatcher.onLimitNamed(owner.start(), new NamedLimit(3), NOW_MILLIS);
        DispatchDescription description = describe(ORDERS);
        assertThat(description.outcome()).isEqualTo(Outcome.ASK_LEADER);
        assertThat(description.candidates().get(0).namedPerSecond()).hasValue(3.0);
        assertThat(dispatcher.waitingCount()).isZero();
    }

    /** Guards against states that hide why a server is left out. */
    @Test
    void evacuatedAndRestingServersAreNamedAsSuch() {
        KnownServer evacuated = desk(1).evacuatedUntil(NOW_MILLIS + 400);
        register(evacuated);
        assertRefused(describe(DESK), RefusalCause.EVACUATED);
        CandidateDescription leaving = describe(DESK).candidates().get(0);
        assertThat(leaving.state()).isEqualTo(CandidateState.EVACUATED);
        assertThat(leaving.acceptsForMillis()).isEqualTo(OptionalLong.of(400));
        register(evacuated, desk(2));
        dispatcher.onRestAsked(desk(2).start(), NOW_MILLIS + 3_000);
        DispatchDescription resting = describe(DESK);
        assertRefused(resting, RefusalCause.RESTING);
        assertThat(resting.retryAfterMillis()).isBetween(3_000L, 3_600L);
        assertThat(resting.candidates())
                .extracting(CandidateDescription::state)
                .containsExactly(CandidateState.RESTING, CandidateState.EVACUATED);
    }

    /** Guards against an answer for full servers that doesn't tell that the request would wait, and behind how many. */
    @Test
    void fullServerMakesTheRequestWaitBehindTheOthers() {
        register(desk(1));
        for (int i = 0; i < 6; i++) {
            dispatcher.submit(request(DESK), NOW_MILLIS);
        }
        DispatchDescription description = describe(DESK);
        assertThat(description.outcome()).isEqualTo(Outcome.WAIT);
        assertThat(description.cause()).contains(RefusalCause.OVERLOADED);
        assertThat(description.waitingBefore()).isEqualTo(2);
        assertThat(description.candidates().get(0).state()).isEqualTo(CandidateState.FULL);
        assertThat(description.candidates().get(0).inFlight()).isEqualTo(4);
        assertThat(dispatcher.waitingCount()).isEqualTo(2);
    }

    /** Guards against an answer from an old view that looks like one from a current view. */
    @Test
    void viewThatIsTooOldMakesTheRequestWait() {
        register(desk(1));
        DispatchDescription description = dispatcher.describe(request(DESK), OUTDATED, NOW_MILLIS);
        assertThat(description.outcome()).isEqualTo(Outcome.WAIT);
        assertThat(description.cause()).contains(RefusalCause.REGISTRY_OUTDATED);
        assertThat(description.candidates().get(0).state()).isEqualTo(CandidateState.VIEW_TOO_OLD);
    }

    /** Guards against answers that grow with the deployment. */
    @Test
    void atMostTwentyCandidatesAreListed() {
        KnownServer[] servers = new KnownServer[50];
        Arrays.setAll(servers, DispatchDescriptionTest::desk);
        register(servers);
        DispatchDescription description = describe(DESK);
        assertThat(description.candidates()).hasSize(20);
        assertThat(description.unlistedCandidates()).isEqualTo(30);
        assertThat(description.candidates().get(0).server())
                .isEqualTo(description.server().orElseThrow());
    }
}
