package org.lacewingthread.core.membership;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Decides when a VM that the store turns away calls it again. While calls fail, one call of all kinds probes the store:
 * without confirmation by the leader each {@link #PROBE_INTERVAL_MILLIS}, since drains and configurations must be known in
 * time; while the leader confirms what the calls would bring, after delays that double up to {@link #MAX_DELAY_MILLIS}.
 * The kinds take turns, since the store may answer some of them only. An answered probe lets all calls through.
 *
 * <pre>{@code
 * if (backoff.next(waiting, nowMillis).isPresent()) {
 *     backoff.onCall(kind, urgency, nowMillis);
 *     call(answered -> backoff.onEnded(kind, answered, sentAtMillis, deadlineMillis, clock.nowMillis()));
 * }
 * }</pre>
 *
 * <p>Times are in milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class StoreBackoff {
    /** Longest delay while the leader confirms the views; a store that answers again is noticed within it. */
    public static final long MAX_DELAY_MILLIS = 1_000;

    /** Pause between probes that nobody confirms, the usual pause before a failed read is repeated. */
    public static final long PROBE_INTERVAL_MILLIS = 200;
    /** Time after which an unanswered probe no longer prevents the next one, since the store may hang. */
    static final long USUAL_ANSWER_MILLIS = 250;
    /** Delay after the first failure while the leader confirms the views. */
    static final long FIRST_DELAY_MILLIS = 200;
    /** Delay of this process from which the end of a time limit shows nothing of the store. */
    static final long MAX_LATENESS_MILLIS = 200;
    /** Shortest part of a delay that is waited; the rest is random, so that VMs that failed together don't call together. */
    private static final double MIN_DELAY_SHARE = 0.6;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final DoubleSupplier random;
    private final Map<Kind, Long> lastTurns = new EnumMap<>(Kind.class);
    private long turns;
    private boolean failing;
    private long delayMillis;
    private long lastFailureMillis = NEVER_MILLIS;
    private long newestFailedSentMillis = NEVER_MILLIS;
    private long newestAnsweredSentMillis = NEVER_MILLIS;
    private long confirmedProbeDueMillis = NEVER_MILLIS;
    private long probeSentMillis = NEVER_MILLIS;
    private Optional<Kind> probeUnderWay = Optional.empty();

    /** The kinds of calls that take turns. */
    public enum Kind {
        /** Read of the registry of servers. */
        SERVERS,
        /** Read of the configuration and the evacuations. */
        CONFIGURATION,
        /** Read of the table of key ranges. */
        RANGES,
        /** Read of the records of requests that crash servers. */
        CRASH_RECORDS,
        /** Join of the leader group. */
        JOIN
    }

    /** How soon a call is needed, the most urgent first. */
    public enum Urgency {
        /** Never held back. */
        IMMEDIATE,
        /** The leader does not confirm that what is known here is current. */
        UNCONFIRMED,
        /** The leader confirms that what is known here is current. */
        CONFIRMED
    }

    /**
     * Creates the state of a VM whose calls are answered.
     *
     * @param random returns numbers from 0 to 1, the latter excluded, for the random part of the delays
     */
    public StoreBackoff(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Returns which of the waiting calls may be made now: of the most urgent ones the one whose last turn is longest ago.
     *
     * @param waiting the urgency of each kind of which a call waits
     */
    public Optional<Kind> next(Map<Kind, Urgency> waiting, long nowMillis) {
        return waiting.entrySet().stream()
                .min(Comparator.<Map.Entry<Kind, Urgency>, Urgency>comparing(Map.Entry::getValue)
                        .thenComparing(entry -> lastTurns.getOrDefault(entry.getKey(), 0L)))
                .filter(first -> !failing || nowMillis >= dueMillis(first.getValue()))
                .map(Map.Entry::getKey);
    }

    private long dueMillis(Urgency urgency) {
        return switch (urgency) {
            case IMMEDIATE -> NEVER_MILLIS;
            case UNCONFIRMED -> probeSentMillis
                    + (probeUnderWay.isPresent() ? USUAL_ANSWER_MILLIS : PROBE_INTERVAL_MILLIS);
            case CONFIRMED -> confirmedProbeDueMillis;
        };
    }

    /** Records that a call is made. One that is made while the store fails counts as the probe. */
    public void onCall(Kind kind, Urgency urgency, long nowMillis) {
        lastTurns.put(kind, ++turns);
        if (failing && urgency != Urgency.IMMEDIATE) {
            probeSentMillis = nowMillis;
            probeUnderWay = Optional.of(kind);
            confirmedProbeDueMillis = nowMillis + randomDelayMillis();
        }
    }

    /**
     * Records how a call ended. One that was sent before the newest failed or answered one shows nothing new, nor does the
     * end of a time limit that this process noticed late.
     *
     * @param answered whether the store answered it
     * @param sentAtMillis when it was sent
     * @param deadlineMillis end of its time limit
     */
    public void onEnded(Kind kind, boolean answered, long sentAtMillis, long deadlineMillis, long nowMillis) {
        probeUnderWay = probeUnderWay.filter(probe -> probe != kind || sentAtMillis < probeSentMillis);
        if (answered) {
            onAnswered(sentAtMillis);
        } else if (nowMillis - deadlineMillis < MAX_LATENESS_MILLIS) {
            onFailed(sentAtMillis, nowMillis);
        }
    }

    private void onAnswered(long sentAtMillis) {
        newestAnsweredSentMillis = Math.max(newestAnsweredSentMillis, sentAtMillis);
        failing = failing && sentAtMillis < newestFailedSentMillis;
    }

    private void onFailed(long sentAtMillis, long nowMillis) {
        boolean answeredSince = sentAtMillis < newestAnsweredSentMillis;
        boolean failedTogether = failing && sentAtMillis < lastFailureMillis;
        if (answeredSince) {
            return;
        }
        newestFailedSentMillis = Math.max(newestFailedSentMillis, sentAtMillis);
        if (failedTogether) {
            return;
        }
        probeSentMillis = failing ? probeSentMillis : nowMillis;
        delayMillis = failing ? Math.min(MAX_DELAY_MILLIS, 2 * delayMillis) : FIRST_DELAY_MILLIS;
        failing = true;
        lastFailureMillis = nowMillis;
        confirmedProbeDueMillis = nowMillis + randomDelayMillis();
    }

    private long randomDelayMillis() {
        return Math.round(delayMillis * (MIN_DELAY_SHARE + (1 - MIN_DELAY_SHARE) * random.getAsDouble()));
    }

    /** Returns whether the newest call that ended was not answered. */
    public boolean isFailing() {
        return failing;
    }
}
