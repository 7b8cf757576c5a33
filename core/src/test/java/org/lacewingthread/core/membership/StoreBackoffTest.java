package org.lacewingthread.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.membership.StoreBackoff.Kind;
import org.lacewingthread.core.membership.StoreBackoff.Urgency;

/** Load: 70 VMs, a third of them turned away by the store for 5.6 s of every 10 s; each has four topics and joins a group. */
class StoreBackoffTest {
    private static final long OUTAGE_MILLIS = 5_600;
    private static final long LOOK_MILLIS = 10;
    private static final long CALL_TIMEOUT_MILLIS = 1_200;

    private final StoreBackoff backoff = new StoreBackoff(new Random(7)::nextDouble);
    private final Map<Kind, Integer> calls = new EnumMap<>(Kind.class);

    private static Map<Kind, Urgency> all(Urgency urgency) {
        Map<Kind, Urgency> waiting = new EnumMap<>(Kind.class);
        Arrays.stream(Kind.values()).forEach(kind -> waiting.put(kind, urgency));
        return waiting;
    }

    private void onEnded(Kind kind, boolean answered, long sentAtMillis, long nowMillis) {
        backoff.onEnded(kind, answered, sentAtMillis, sentAtMillis + CALL_TIMEOUT_MILLIS, nowMillis);
    }

    private Optional<Kind> callNext(Map<Kind, Urgency> waiting, long nowMillis) {
        Optional<Kind> next = backoff.next(waiting, nowMillis);
        next.ifPresent(kind -> {
            calls.merge(kind, 1, Integer::sum);
            backoff.onCall(kind, waiting.get(kind), nowMillis);
        });
        return next;
    }

    /** Plays an outage in which all kinds of calls wait and every call fails at once. */
    private int callsOfOutage(Urgency urgency) {
        onEnded(Kind.SERVERS, false, 0, 0);
        for (long nowMillis = 0; nowMillis < OUTAGE_MILLIS; nowMillis += LOOK_MILLIS) {
            long sentMillis = nowMillis;
            callNext(all(urgency), nowMillis).ifPresent(kind -> onEnded(kind, false, sentMillis, sentMillis));
        }
        return calls.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Guards against calls of every kind at the usual interval, all of which are priced although the leader has the news. */
    @Test
    void oneKindOfCallProbesTheStoreWhileTheLeaderConfirmsTheView() {
        assertThat(callsOfOutage(Urgency.CONFIRMED)).isBetween(5, 11);
    }

    /** Guards against one probe for each topic, and against a topic that never gets its turn, without the leader's news. */
    @Test
    void kindsTakeTurnsToProbeTheStoreEachIntervalWhileNobodyConfirmsTheView() {
        int probes = (int) (OUTAGE_MILLIS / StoreBackoff.PROBE_INTERVAL_MILLIS) - 1;
        assertThat(callsOfOutage(Urgency.UNCONFIRMED)).isEqualTo(probes);
        assertThat(calls.values()).hasSize(Kind.values().length).allMatch(count -> count >= probes / 5);
    }

    /** Guards against a leader, or a candidate without a leader, that is late because the store failed. */
    @Test
    void callsThatAreNeededAtOnceAreNotHeldBackAndDelayNoProbe() {
        onEnded(Kind.SERVERS, false, 0, 10);
        assertThat(callNext(Map.of(Kind.JOIN, Urgency.IMMEDIATE), 11)).contains(Kind.JOIN);
        assertThat(callNext(Map.of(Kind.SERVERS, Urgency.UNCONFIRMED), 210)).contains(Kind.SERVERS);
    }

    /** Guards against a topic that is behind and waits for topics that the leader confirms. */
    @Test
    void unconfirmedCallsProbeFirst() {
        onEnded(Kind.SERVERS, false, 0, 10);
        Map<Kind, Urgency> waiting = all(Urgency.CONFIRMED);
        waiting.put(Kind.RANGES, Urgency.UNCONFIRMED);
        assertThat(callNext(waiting, 209)).isEmpty();
        assertThat(callNext(waiting, 210)).contains(Kind.RANGES);
        assertThat(callNext(waiting, 470)).contains(Kind.RANGES);
    }

    /** Guards against a store that answers again and is noticed by one kind of call only. */
    @Test
    void allKindsOfCallsFollowOnceAProbeIsAnswered() {
        onEnded(Kind.SERVERS, false, 0, 10);
        assertThat(callNext(all(Urgency.CONFIRMED), 11)).isEmpty();
        assertThat(callNext(all(Urgency.CONFIRMED), 210)).isPresent();
        assertThat(callNext(all(Urgency.CONFIRMED), 210)).isEmpty();
        onEnded(Kind.SERVERS, true, 210, 215);
        Set<Kind> released = EnumSet.noneOf(Kind.class);
        Map<Kind, Urgency> waiting = all(Urgency.CONFIRMED);
        while (!waiting.isEmpty()) {
            Kind next = callNext(waiting, 216).orElseThrow();
            waiting.remove(next);
            released.add(next);
        }
        assertThat(released).hasSize(Kind.values().length);
    }

    /** Guards against the longest delay after one lost connection, over which several calls were under way. */
    @Test
    void callsThatFailTogetherCountAsOneFailure() {
        for (Kind kind : Kind.values()) {
            onEnded(kind, false, 0, 10);
        }
        assertThat(backoff.next(all(Urgency.CONFIRMED), 210)).isPresent();
    }

    /** Guards against a store that hangs and is probed once per time limit, so that its next answer is noticed late. */
    @Test
    void unansweredProbeDoesNotPreventTheNextOneAfterAWhile() {
        onEnded(Kind.SERVERS, false, 0, 0);
        assertThat(callNext(all(Urgency.UNCONFIRMED), 200)).isPresent();
        assertThat(callNext(all(Urgency.UNCONFIRMED), 449)).isEmpty();
        assertThat(callNext(all(Urgency.UNCONFIRMED), 450)).isPresent();
    }

    /** Guards against probes that end at their time limit, sent before one that was answered, as a new failure. */
    @Test
    void timeLimitOfAnEarlierCallDoesNotHideALaterAnswer() {
        onEnded(Kind.SERVERS, false, 0, 0);
        onEnded(Kind.RANGES, true, 700, 710);
        onEnded(Kind.SERVERS, false, 200, 1_400);
        assertThat(backoff.isFailing()).isFalse();
    }

    /** Guards against a paused process that takes its own lateness for a failure of the store. */
    @Test
    void timeLimitThatThisProcessNoticedLateIsNoFailure() {
        onEnded(Kind.SERVERS, false, 0, CALL_TIMEOUT_MILLIS + 3_000);
        assertThat(backoff.isFailing()).isFalse();
    }
}
