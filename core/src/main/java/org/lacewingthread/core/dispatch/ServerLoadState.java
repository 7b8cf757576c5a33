package org.lacewingthread.core.dispatch;

import java.util.Optional;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** What this entry VM knows about one server's load, speed and health. */
final class ServerLoadState {
    /** Weight of the newest measurement in averages; follows a change within about ten requests. */
    private static final double SMOOTHING_FACTOR = 0.15;
    /** Time of a request until one was measured. */
    private static final double INITIAL_SERVICE_MILLIS = 100;
    /** Failures in a row after which a server is left out for a while. */
    private static final int EJECT_AFTER_FAILURES = 3;
    /** How long a server is left out the first time. */
    private static final long BASE_EJECT_MILLIS = 1_000;
    /** Longest time that a server is left out. */
    private static final long MAX_EJECT_MILLIS = 4_000;
    /** How long a server that does not hold a key is left alone; about the time of a renewal. */
    private static final long MISDIRECTED_BACKOFF_MILLIS = 150;
    /** How long a server that can't be connected to is left out the first time. */
    private static final long BASE_UNREACHABLE_MILLIS = 500;
    /** Longest pause after a server was found full; many entry VMs may share a server that takes a few requests a second. */
    private static final double MAX_BACKOFF_MILLIS = 1_000;
    /** Slots' worth of requests that a server is taken to have when it turns one away. */
    private static final int ASSUMED_FULL_LOAD_PER_SLOT = 3;
    /** Pause, in service times, above which a server counts as overloaded. */
    private static final double THROTTLE_BACKOFF_SERVICE_TIMES = 2;
    /** Waiting requests, in slots, above which a queue is long; answers take three service times then. */
    private static final int LONG_QUEUE_PER_SLOT = 2;
    /** The same while the server counts as overloaded, so that answers get prompt again. */
    private static final int THROTTLED_LONG_QUEUE_PER_SLOT = 1;
    /** Factor of the pause when a request is turned away, and when one is answered. */
    private static final double BACKOFF_GROWTH = 1.5;

    private static final double BACKOFF_DECAY = 0.5;

    /** Service times after which a reported load counts for about a third. */
    private static final double LOAD_DECAY_SERVICE_TIMES = 5;

    private KnownServer knownServer;
    private int inFlight;
    private double otherVmsLoad;
    private long otherVmsLoadAtMillis;
    private double serviceMillis = INITIAL_SERVICE_MILLIS;
    private double backoffMillis;
    private boolean replaced;
    private int consecutiveFailures;
    private long ejectedUntilMillis = Long.MIN_VALUE / 2;
    private long unreachableUntilMillis = Long.MIN_VALUE / 2;
    private int connectionLimit = Integer.MAX_VALUE;
    private long backoffUntilMillis = Long.MIN_VALUE / 2;

    ServerLoadState(KnownServer known) {
        this.knownServer = known;
    }

    void update(KnownServer newest) {
        knownServer = newest;
    }

    ServerEntry entry() {
        return knownServer.entry();
    }

    KnownServer knownServer() {
        return knownServer;
    }

    int inFlight() {
        return inFlight;
    }

    double serviceMillis() {
        return serviceMillis;
    }

    void onSent(long nowMillis) {
        inFlight++;
        backoffUntilMillis = Math.max(backoffUntilMillis, nowMillis + Math.round(backoffMillis));
    }

    /** Tells whether the server was found full lately, so that it gets one request at a time from here. */
    boolean isThrottled() {
        return backoffMillis > serviceMillis * THROTTLE_BACKOFF_SERVICE_TIMES;
    }

    /** Returns the time between two requests sent from here, if there are always some to send. */
    double sendIntervalMillis() {
        return Math.max(
                backoffMillis, serviceMillis / Math.max(1, knownServer.entry().slots()));
    }

    void onEnded(AttemptResult result, double elapsedMillis, Optional<LoadReport> report, long nowMillis) {
        inFlight = Math.max(0, inFlight - 1);
        report.ifPresent(load -> {
            otherVmsLoad = Math.max(0, load.total() - inFlight);
            otherVmsLoadAtMillis = nowMillis;
        });
        if (result.hasServiceTime()) {
            double places = report.map(LoadReport::total).orElse(0) + 1.0;
            double share = Math.min(1, Math.max(1, knownServer.entry().slots()) / places);
            serviceMillis += SMOOTHING_FACTOR * (elapsedMillis * share - serviceMillis);
        }
        boolean turnedAway = result == AttemptResult.REJECTED || result == AttemptResult.BROKEN;
        int longQueueSlots = isThrottled() ? THROTTLED_LONG_QUEUE_PER_SLOT : LONG_QUEUE_PER_SLOT;
        boolean queueIsLong = report.map(load -> load.waiting() > longQueueSlots * load.slots())
                .orElse(false);
        if (turnedAway || queueIsLong) {
            int ahead = report.map(LoadReport::total)
                    .orElse(ASSUMED_FULL_LOAD_PER_SLOT * knownServer.entry().slots());
            double drainMillis =
                    ahead * serviceMillis / Math.max(1, knownServer.entry().slots());
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(drainMillis, backoffMillis * BACKOFF_GROWTH));
            backoffUntilMillis = nowMillis + Math.round(backoffMillis);
        } else if (result == AttemptResult.ANSWERED) {
            backoffMillis *= BACKOFF_DECAY;
        } else if (result == AttemptResult.MISDIRECTED) {
            backoffUntilMillis = nowMillis + MISDIRECTED_BACKOFF_MILLIS;
        }
        replaced |= result == AttemptResult.REPLACED;
        updateHealth(result, nowMillis);
    }

    /** Tells whether another server has this one's address, so that this one has ended. */
    boolean isReplaced() {
        return replaced;
    }

    private void updateHealth(AttemptResult result, long nowMillis) {
        if (result == AttemptResult.ANSWERED) {
            consecutiveFailures = 0;
            unreachableUntilMillis = nowMillis;
        }
        if (!result.countsAsFailure()) {
            return;
        }
        consecutiveFailures++;
        if (result == AttemptResult.NOT_SENT) {
            int doublings = Math.min(2, consecutiveFailures - 1);
            unreachableUntilMillis =
                    Math.max(unreachableUntilMillis, nowMillis + (BASE_UNREACHABLE_MILLIS << doublings));
        }
        if (consecutiveFailures >= EJECT_AFTER_FAILURES) {
            int doublings = Math.min(2, consecutiveFailures - EJECT_AFTER_FAILURES);
            ejectedUntilMillis = nowMillis + Math.min(MAX_EJECT_MILLIS, BASE_EJECT_MILLIS << doublings);
        }
    }

    void setConnectionLimit(int limit) {
        connectionLimit = limit;
    }

    /** Tells whether connections to the server can't be made just now. */
    boolean isUnreachable(long nowMillis) {
        return nowMillis < unreachableUntilMillis;
    }

    /** Tells whether others should be preferred, since the server fails or can't be reached. */
    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis || isUnreachable(nowMillis);
    }

    /** Returns the requests of other entry VMs that the server probably has now. */
    double otherVmsLoad(long nowMillis) {
        double age = nowMillis - otherVmsLoadAtMillis;
        return otherVmsLoad * Math.exp(-age / Math.max(1, serviceMillis * LOAD_DECAY_SERVICE_TIMES));
    }

    /** Tells whether another request would run soon, or at least find a place in the server's queue. */
    boolean hasCapacity(int waitingPlaces, int queuePlaces, long nowMillis) {
        if (nowMillis < backoffUntilMillis || inFlight >= connectionLimit) {
            return false;
        }
        if (isThrottled()) {
            return inFlight == 0;
        }
        double others = otherVmsLoad(nowMillis);
        int slots = knownServer.entry().slots();
        return inFlight == 0 ? others < slots + queuePlaces : inFlight + others < slots + waitingPlaces;
    }

    /** Returns how long a request that is sent now takes, if this many are sent before it. */
    double expectedMillis(int ahead, long nowMillis) {
        int slots = knownServer.entry().slots();
        double waiting = Math.max(0, inFlight + otherVmsLoad(nowMillis) + ahead + 1 - slots);
        return serviceMillis * (1 + waiting / slots);
    }
}
