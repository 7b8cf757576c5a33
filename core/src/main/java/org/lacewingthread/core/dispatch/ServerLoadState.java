package org.lacewingthread.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** Load, service time and health of one server as seen by this entry VM. */
final class ServerLoadState {
    /** Weight of the newest sample in the moving average; follows a change within about ten requests. */
    private static final double SMOOTHING_FACTOR = 0.15;
    /** Service time assumed before the first measurement. */
    private static final double INITIAL_SERVICE_MILLIS = 100;
    /** Consecutive failures after which a server is ejected for a while. */
    private static final int EJECT_AFTER_FAILURES = 3;
    /** Duration of the first ejection. */
    private static final long BASE_EJECT_MILLIS = 1_000;
    /** Maximum duration of an ejection. */
    private static final long MAX_EJECT_MILLIS = 4_000;
    /** Backoff from a server that did not own a key; about the time of a renewal. */
    private static final long MISDIRECTED_BACKOFF_MILLIS = 150;
    /** How long a server counts as unreachable after the first failed connection. */
    private static final long BASE_UNREACHABLE_MILLIS = 500;
    /** Maximum backoff from a full server; many entry VMs may share one that serves only a few requests a second. */
    private static final double MAX_BACKOFF_MILLIS = 1_000;
    /** Requests for each slot that a server is assumed to have when it rejects one without a load report. */
    private static final int ASSUMED_FULL_LOAD_PER_SLOT = 3;
    /** Backoff, in service times, above which a server is throttled to one request at a time. */
    private static final double THROTTLE_BACKOFF_SERVICE_TIMES = 2;
    /** Queued requests for each slot above which a queue is long; responses then take three service times. */
    private static final int LONG_QUEUE_PER_SLOT = 2;
    /** The same limit for a throttled server; lower, so that response times recover. */
    private static final int THROTTLED_LONG_QUEUE_PER_SLOT = 1;
    /** Factor of the backoff when a request is rejected or the queue is long. */
    private static final double BACKOFF_GROWTH = 1.5;

    /** Factor of the backoff when a request is answered. */
    private static final double BACKOFF_DECAY = 0.5;

    /** Requests queued at a server beyond its slots; further ones wait here, where priorities apply. */
    private static final int MAX_QUEUED_AT_SERVER = 2;
    /** Other entry VMs' requests that may be queued at a server when this VM sends its only one there. */
    private static final int MAX_QUEUED_BY_OTHER_VMS = 3;
    /**
     * Entry VMs from which on a server is seen so seldom that all of them would take a busy one for idle; with 12, waiting for
     * the fair share cost the most urgent class 10 of 100 requests on time.
     */
    static final int MANY_ENTRY_VMS = 24;
    /** Share of the service time that must remain before the deadline for a request to be sent. */
    private static final double MIN_REMAINING_SERVICE_RATIO = 0.5;
    /** Longest time after a request to a server until the next one may test its service time. */
    private static final double MAX_TEST_INTERVAL_MILLIS = 30_000;

    private KnownServer knownServer;
    private int inFlight;
    /** Requests sent that were most likely dropped, and whose connections are still open. */
    private int lost;

    private final OwnerPace pace = new OwnerPace();
    private final OtherVmsLoad otherVmsLoad = new OtherVmsLoad();
    private int entryVmCount = 1;
    private double serviceMillis = INITIAL_SERVICE_MILLIS;
    private double backoffMillis;
    private final Slowdown slowdown = new Slowdown();
    private int answers;
    private int silentSinceAnswer;
    private boolean replaced;
    private int consecutiveFailures;
    private long ejectedUntilMillis = Long.MIN_VALUE / 2;
    private long unreachableUntilMillis = Long.MIN_VALUE / 2;
    private int connectionLimit = Integer.MAX_VALUE;
    private long backoffUntilMillis = Long.MIN_VALUE / 2;
    private long lastSentMillis = Long.MIN_VALUE / 2;
    /** Whether the last request was sent although the server was expected to be too slow for it. */
    private boolean testing;

    ServerLoadState(KnownServer knownServer) {
        this.knownServer = knownServer;
    }

    void update(KnownServer server) {
        knownServer = server;
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

    /** Returns the service time of a request that starts now. */
    double currentServiceMillis(long nowMillis) {
        return serviceMillis * slowdown.factor(nowMillis);
    }

    /**
     * Returns whether a request may be answered in time. One that is not expected to be is sent all the same if none was for a
     * while, since the estimate changes with answers only; all entry VMs together send about one in each service time.
     */
    boolean mayAnswerWithin(double leftMillis, long nowMillis) {
        double testIntervalMillis = Math.min(serviceMillis * entryVmCount, MAX_TEST_INTERVAL_MILLIS);
        return !isTooSlowFor(leftMillis) || (inFlight == 0 && nowMillis - lastSentMillis >= testIntervalMillis);
    }

    private boolean isTooSlowFor(double leftMillis) {
        return leftMillis < serviceMillis * MIN_REMAINING_SERVICE_RATIO;
    }

    void onSent(double leftMillis, long nowMillis) {
        inFlight++;
        testing = isTooSlowFor(leftMillis);
        lastSentMillis = nowMillis;
        backoffUntilMillis = Math.max(backoffUntilMillis, nowMillis + Math.round(backoffMillis));
    }

    /** Returns whether the server was full recently, so that this VM sends it one request at a time. */
    boolean isThrottled() {
        return backoffMillis > serviceMillis * THROTTLE_BACKOFF_SERVICE_TIMES;
    }

    /** Returns the interval between requests that this VM sends while requests are always waiting. */
    double sendIntervalMillis() {
        return Math.max(
                backoffMillis, serviceMillis / Math.max(1, knownServer.entry().slots()));
    }

    void onEnded(AttemptResult result, double elapsedMillis, Optional<LoadReport> report, long nowMillis) {
        inFlight = Math.max(0, inFlight - 1);
        report.ifPresent(reported -> {
            otherVmsLoad.onReported(Math.max(0, reported.total() - inFlight), nowMillis);
            pace.onReported(
                    reported.total(), Math.max(1, knownServer.entry().slots()), fairIntervalMillis(), serviceMillis);
            reported.slowdown().ifPresent(factor -> slowdown.onReported(factor, nowMillis));
        });
        if (result.hasServiceTime()) {
            double load = report.map(LoadReport::total).orElse(0) + 1.0;
            double share = Math.min(1, Math.max(1, knownServer.entry().slots()) / load);
            double sampleMillis = elapsedMillis * share;
            serviceMillis = testing
                    ? Math.min(serviceMillis, sampleMillis)
                    : serviceMillis + SMOOTHING_FACTOR * (sampleMillis - serviceMillis);
            if (report.isPresent() && report.get().slowdown().isPresent()) {
                slowdown.onSample(SMOOTHING_FACTOR);
            }
        }
        if (result == AttemptResult.ANSWERED) {
            answers++;
            silentSinceAnswer = 0;
        }
        boolean rejected = result == AttemptResult.REJECTED || result == AttemptResult.BROKEN;
        int longQueuePerSlot = isThrottled() ? THROTTLED_LONG_QUEUE_PER_SLOT : LONG_QUEUE_PER_SLOT;
        boolean queueIsLong = report.map(load -> load.waiting() > longQueuePerSlot * load.slots())
                .orElse(false);
        if (rejected || queueIsLong) {
            int assumed = ASSUMED_FULL_LOAD_PER_SLOT * knownServer.entry().slots();
            backOff(report.map(LoadReport::total).orElse(assumed), nowMillis);
        } else if (result == AttemptResult.ANSWERED) {
            backoffMillis *= BACKOFF_DECAY;
        } else if (result == AttemptResult.MISDIRECTED) {
            backoffUntilMillis = nowMillis + MISDIRECTED_BACKOFF_MILLIS;
        }
        replaced |= result == AttemptResult.REPLACED;
        updateHealth(result, nowMillis);
    }

    /** Records that a request in flight was most likely dropped, so that it takes no slot. */
    void onLost() {
        inFlight = Math.max(0, inFlight - 1);
        lost++;
        pace.onLost(fairIntervalMillis());
    }

    /** Records that a request counted as lost ends; it is in flight again until then. */
    void onLostEnded() {
        lost = Math.max(0, lost - 1);
        inFlight++;
    }

    /** Returns the time until the owner's pace allows another request. */
    double paceWaitMillis(long nowMillis) {
        return Math.max(0, lastSentMillis + pace.intervalMillis() - nowMillis);
    }

    OwnerPace pace() {
        return pace;
    }

    /** Records that a request got no answer in the time of a full queue; the server counts as full. */
    void onSilent(long nowMillis) {
        silentSinceAnswer++;
        int assumed = ASSUMED_FULL_LOAD_PER_SLOT * knownServer.entry().slots();
        otherVmsLoad.onReported(assumed, nowMillis);
        backOff(assumed, nowMillis);
    }

    private void backOff(int ahead, long nowMillis) {
        double drainMillis =
                ahead * serviceMillis / Math.max(1, knownServer.entry().slots());
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(drainMillis, backoffMillis * BACKOFF_GROWTH));
        backoffUntilMillis = nowMillis + Math.round(backoffMillis);
    }

    /** Sets the service time of a server that has not answered yet. */
    void assumeServiceTime(double millis) {
        serviceMillis = answers == 0 ? millis : serviceMillis;
    }

    /** Returns the number of answers from which the service time is known. */
    int answers() {
        return answers;
    }

    /** Returns the number of overdue attempts since the last answer. */
    int silentSinceAnswer() {
        return silentSinceAnswer;
    }

    /** Returns whether another server now has this server's address, which means that this one has ended. */
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

    /** Treats the server as one that has not failed. */
    void forgetFailures() {
        consecutiveFailures = 0;
        ejectedUntilMillis = Long.MIN_VALUE / 2;
        unreachableUntilMillis = Long.MIN_VALUE / 2;
    }

    void setEntryVmCount(int count) {
        entryVmCount = Math.max(1, count);
    }

    void setConnectionLimit(int limit) {
        connectionLimit = limit;
    }

    /** Returns whether connections to the server currently fail. */
    boolean isUnreachable(long nowMillis) {
        return nowMillis < unreachableUntilMillis;
    }

    /** Returns whether other servers are to be preferred, since this one fails or is unreachable. */
    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis || isUnreachable(nowMillis);
    }

    /** Returns the estimated number of other entry VMs' requests at the server. */
    double otherVmsLoad(long nowMillis) {
        return otherVmsLoad.estimate(serviceMillis, hasManyEntryVms(), nowMillis);
    }

    /** Returns whether no backoff and no limit of connections keeps this VM from sending a request. */
    boolean mayConnect(long nowMillis) {
        return nowMillis >= backoffUntilMillis && inFlight + lost < connectionLimit;
    }

    /** Returns the age of the newest report of the load; empty without one. */
    OptionalLong loadAgeMillis(long nowMillis) {
        return otherVmsLoad.ageMillis(nowMillis);
    }

    /** Returns whether the server has a free slot, or space in its queue. */
    boolean hasCapacity(long nowMillis) {
        if (!mayConnect(nowMillis)) {
            return false;
        }
        boolean isFull = isThrottled() || isFullByOthers(nowMillis);
        if (isFull && hasManyEntryVms()) {
            return inFlight == 0 && nowMillis - lastSentMillis >= fairIntervalMillis();
        }
        if (isFull) {
            return inFlight == 0 && isThrottled();
        }
        return inFlight == 0
                || inFlight + otherVmsLoad(nowMillis) < knownServer.entry().slots() + MAX_QUEUED_AT_SERVER;
    }

    /** Returns whether so many entry VMs share the servers that each one's reports are seldom new. */
    private boolean hasManyEntryVms() {
        return entryVmCount >= MANY_ENTRY_VMS;
    }

    /** Returns whether other entry VMs are believed to have so many requests here that this VM adds none to them. */
    private boolean isFullByOthers(long nowMillis) {
        return otherVmsLoad(nowMillis) >= knownServer.entry().slots() + MAX_QUEUED_BY_OTHER_VMS;
    }

    /** Returns the interval at which each entry VM may send to a full server, such that all of them don't exceed its rate. */
    private double fairIntervalMillis() {
        return serviceMillis * entryVmCount / Math.max(1, knownServer.entry().slots());
    }

    /** Returns whether a request would run at once, as far as is known. */
    boolean hasIdleSlot(long nowMillis) {
        return hasCapacity(nowMillis)
                && !isThrottled()
                && inFlight + otherVmsLoad(nowMillis) + 1 <= knownServer.entry().slots();
    }

    /** Returns the expected response time of a request if {@code ahead} other requests are sent before it. */
    double expectedMillis(int ahead, long nowMillis) {
        int slots = knownServer.entry().slots();
        double waiting = Math.max(0, inFlight + otherVmsLoad(nowMillis) + ahead + 1 - slots);
        return currentServiceMillis(nowMillis) * (1 + waiting / slots);
    }
}
