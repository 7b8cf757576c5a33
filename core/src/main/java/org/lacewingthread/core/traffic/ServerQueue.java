package org.lacewingthread.core.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.lacewingthread.core.config.RequestClass;

/**
 * Admission control for one backend server, held by its one dispatcher: a bounded queue in front of
 * the server's slots.
 *
 * <p>Interactive requests are served before deferrable ones; within each class, keys are served round
 * robin and the requests of a key by deadline. A request is refused on arrival if the queue is full or
 * if, by the measured service time, its deadline can't be met; a standing queue admits only requests
 * with a short expected wait. A full queue sheds deferrable requests first, then requests of the key
 * that has the most requests queued.
 *
 * <pre>{@code
 * ServerQueue<Call> queue = new ServerQueue<>(ServerQueue.Settings.of(2));
 * Admission admission = queue.offer(call, keyHash, requestClass, deadlineMillis, nowMillis);
 * queue.takeDropped(nowMillis).forEach(this::refuse);
 * queue.poll().ifPresent(this::send); // takes a slot
 * queue.onAnswered(serviceMillis); // frees it
 * }</pre>
 *
 * <p>Not safe for use by several threads. Every queued request is removed exactly once: by {@link #poll}, by
 * {@link #takeDropped} or by {@link #removeIf}.
 *
 * @param <T> type of the queued requests
 */
public final class ServerQueue<T> {
    private static final long MIN_RETRY_AFTER_MILLIS = 20;
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;
    private static final double MAX_SERVICE_RESERVE_MILLIS = 100;
    private static final double WAIT_SAFETY_FACTOR = 1.25;
    private static final long STANDING_QUEUE_MILLIS = 250;
    private static final long SHED_DEFERRABLE_MILLIS = 100;
    private static final long SHED_RETRY_AFTER_MILLIS = 1_000;
    private static final double MAX_STANDING_WAIT_MILLIS = 40;

    private final Settings settings;
    private final FairQueue<T> interactive = new FairQueue<>();
    private final FairQueue<T> deferrable = new FairQueue<>();
    private final List<Dropped<T>> shed = new ArrayList<>();
    private final ServiceTimeEstimate serviceTime;
    private int busySlots;

    /**
     * Capacities of a queue and its server.
     *
     * @param slots requests that the server can run at the same time
     * @param maxQueued maximum number of queued requests
     * @param initialServiceMillis service time assumed before the first measurement, in milliseconds
     */
    public record Settings(int slots, int maxQueued, double initialServiceMillis) {
        private static final int QUEUED_PER_SLOT = 64;
        private static final double INITIAL_SERVICE_MILLIS = 2;

        /** Checks that all values are positive. */
        public Settings {
            if (slots < 1 || maxQueued < 1 || initialServiceMillis <= 0) {
                throw new IllegalArgumentException("server queue of " + slots + " slots, " + maxQueued + " queued and "
                        + initialServiceMillis + " ms is not valid; all must be positive");
            }
        }

        /** Returns the default settings for a number of slots. */
        public static Settings of(int slots) {
            return new Settings(slots, slots * QUEUED_PER_SLOT, INITIAL_SERVICE_MILLIS);
        }
    }

    /**
     * A request that was removed from the queue and will not be sent.
     *
     * @param value the request
     * @param code result code for the caller
     * @param retryAfterMillis time until capacity is expected, in milliseconds, or 0
     */
    public record Dropped<T>(T value, ResultCode code, long retryAfterMillis) {}

    /** Creates an empty queue. */
    public ServerQueue(Settings settings) {
        this.settings = settings;
        this.serviceTime = new ServiceTimeEstimate(settings.initialServiceMillis());
    }

    /**
     * Queues a request, or refuses it immediately. A request that is evicted in its favour is returned by
     * {@link #takeDropped}.
     *
     * @param value the request
     * @param keyHash hash of the request's key
     * @param requestClass class of the request
     * @param deadlineMillis monotonic time by which the response is needed
     * @param nowMillis current monotonic time
     */
    public Admission offer(T value, long keyHash, RequestClass requestClass, long deadlineMillis, long nowMillis) {
        if (deadlineMillis <= nowMillis) {
            return Admission.refused(ResultCode.DEADLINE_PASSED, 0);
        }
        FairQueue<T> queue = queueOf(requestClass);
        if (queue == deferrable && isSheddingDeferrable(nowMillis)) {
            return Admission.refused(ResultCode.OVERLOADED, retryAfterMillis(SHED_RETRY_AFTER_MILLIS));
        }
        double waitMillis = expectedWaitMillis(queue, keyHash, deadlineMillis);
        double excessMillis = waitMillis - maxWaitMillis(queue, deadlineMillis, nowMillis);
        if (waitMillis > 0 && excessMillis > 0) {
            return Admission.refused(ResultCode.OVERLOADED, retryAfterMillis(excessMillis));
        }
        if (waitMillis == 0 && nowMillis + serviceTime.meanMillis() > deadlineMillis) {
            return Admission.refused(ResultCode.OVERLOADED, MIN_RETRY_AFTER_MILLIS);
        }
        if (queued() >= settings.maxQueued() && !evictFor(queue, keyHash)) {
            return Admission.refused(ResultCode.OVERLOADED, retryAfterMillis(drainMillis()));
        }
        queue.add(value, keyHash, deadlineMillis, nowMillis);
        return Admission.QUEUED;
    }

    /**
     * Returns the longest expected wait with which a request is admitted: the time to its deadline, less
     * a reserve for a slow service and for requests that overtake it. A standing queue, which has not been
     * empty for a while, only adds delay, so that it admits only short waits.
     */
    private double maxWaitMillis(FairQueue<T> queue, long deadlineMillis, long nowMillis) {
        double byDeadlineMillis = (deadlineMillis - nowMillis - serviceTime.upperBoundMillis()) / WAIT_SAFETY_FACTOR;
        boolean standing = queue.nonEmptyMillis(nowMillis) >= STANDING_QUEUE_MILLIS
                || interactive.nonEmptyMillis(nowMillis) >= STANDING_QUEUE_MILLIS;
        return standing ? Math.min(byDeadlineMillis, MAX_STANDING_WAIT_MILLIS) : byDeadlineMillis;
    }

    /** Returns whether interactive requests have been queued without a break for long enough to starve others. */
    private boolean isSheddingDeferrable(long nowMillis) {
        return interactive.nonEmptyMillis(nowMillis) >= SHED_DEFERRABLE_MILLIS;
    }

    private FairQueue<T> queueOf(RequestClass requestClass) {
        return requestClass.isShedFirst() ? deferrable : interactive;
    }

    private double expectedWaitMillis(FairQueue<T> queue, long keyHash, long deadlineMillis) {
        int ahead = queue.countAhead(keyHash, deadlineMillis) + busySlots;
        if (queue == deferrable) {
            ahead += interactive.size();
        }
        int completionsNeeded = Math.max(0, ahead - settings.slots() + 1);
        return completionsNeeded * serviceTime.meanMillis() / settings.slots();
    }

    /** Evicts a queued request of lower precedence than a new request of a key; returns whether there was one. */
    private boolean evictFor(FairQueue<T> queue, long keyHash) {
        int ownQueued = queue.sizeOf(keyHash);
        Optional<T> removed = queue == interactive && deferrable.size() > 0
                ? deferrable.removeFromLongest(1)
                : queue.removeFromLongest(ownQueued + 2);
        removed.ifPresent(this::shed);
        return removed.isPresent();
    }

    private void shed(T value) {
        shed.add(new Dropped<>(value, ResultCode.OVERLOADED, retryAfterMillis(drainMillis())));
    }

    /**
     * Removes and returns the requests that will not be sent: those that were shed, and those that can no
     * longer be answered by their deadline. The caller must answer each of them immediately.
     */
    public List<Dropped<T>> takeDropped(long nowMillis) {
        if (isSheddingDeferrable(nowMillis)) {
            deferrable.removeIf(item -> true).forEach(this::shed);
        }
        List<Dropped<T>> dropped = new ArrayList<>(shed);
        shed.clear();
        double soonestAnswerMillis = nowMillis + Math.min(serviceTime.meanMillis(), MAX_SERVICE_RESERVE_MILLIS);
        for (FairQueue<T> queue : List.of(interactive, deferrable)) {
            for (T value : queue.removeIf(item -> item.deadlineMillis() < soonestAnswerMillis)) {
                dropped.add(new Dropped<>(value, ResultCode.OVERLOADED, retryAfterMillis(drainMillis())));
            }
        }
        return dropped;
    }

    /** Removes the next request and takes a slot for it; empty if no slot is free or nothing is queued. */
    public Optional<T> poll() {
        if (busySlots >= settings.slots()) {
            return Optional.empty();
        }
        Optional<T> next = interactive.poll().or(deferrable::poll);
        if (next.isPresent()) {
            busySlots++;
        }
        return next;
    }

    /** Takes a slot for an extra attempt if one is free and nothing is queued. */
    public boolean tryTakeIdleSlot() {
        if (busySlots >= settings.slots() || queued() > 0) {
            return false;
        }
        busySlots++;
        return true;
    }

    /** Frees a slot whose request was answered completely, and records its service time. */
    public void onAnswered(double serviceMillis) {
        serviceTime.add(serviceMillis);
        freeSlot();
    }

    /**
     * Frees a slot whose request was not answered.
     *
     * @throws IllegalStateException if no slot is taken
     */
    public void freeSlot() {
        if (busySlots == 0) {
            throw new IllegalStateException("no slot is taken");
        }
        busySlots--;
    }

    /** Removes all queued requests that match a condition and returns them. */
    public List<T> removeIf(Predicate<T> condition) {
        List<T> removed = new ArrayList<>(interactive.removeIf(item -> condition.test(item.value())));
        removed.addAll(deferrable.removeIf(item -> condition.test(item.value())));
        return removed;
    }

    /** Returns the number of queued requests of both classes. */
    public int queued() {
        return interactive.size() + deferrable.size();
    }

    /** Returns the number of slots that are taken. */
    public int busySlots() {
        return busySlots;
    }

    /** Returns the moving average of the measured service times. */
    public double meanServiceMillis() {
        return serviceTime.meanMillis();
    }

    /** Returns a service time that nearly no request exceeds. */
    public double upperBoundServiceMillis() {
        return serviceTime.upperBoundMillis();
    }

    private double drainMillis() {
        return queued() * serviceTime.meanMillis() / settings.slots();
    }

    private static long retryAfterMillis(double waitMillis) {
        return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, (long) Math.ceil(waitMillis)));
    }
}
