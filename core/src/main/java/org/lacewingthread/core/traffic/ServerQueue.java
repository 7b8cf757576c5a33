package org.lacewingthread.core.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.lacewingthread.core.config.RequestClass;

/**
 * Admission to one backend server, held by its one dispatcher: a bounded queue in front of the
 * server's slots.
 *
 * <p>Requests that a caller waits for go before deferrable ones; within these, keys take turns, and
 * the requests of a key go by deadline. A request is refused at once when the queue is full or when
 * the measured service time says that its deadline can't be met; a queue that stays filled admits only
 * what it can serve soon. A full queue makes room by shedding deferrable requests, then requests of the
 * key that has most queued.
 *
 * <pre>{@code
 * ServerQueue<Call> queue = new ServerQueue<>(ServerQueue.Settings.of(2));
 * Admission admission = queue.offer(call, keyHash, requestClass, deadlineMillis, nowMillis);
 * queue.takeGivenUp(nowMillis).forEach(this::refuse);
 * queue.poll().ifPresent(this::send); // takes a slot
 * queue.onAnswered(serviceMillis); // frees it
 * }</pre>
 *
 * <p>Not safe for use by several threads. Every request leaves exactly once: by {@link #poll}, by
 * {@link #takeDropped} or by {@link #removeIf}.
 *
 * @param <T> what is queued
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
     * Sizes of a queue.
     *
     * @param slots requests that the server runs at once
     * @param maxQueued most requests queued
     * @param initialServiceMillis service time assumed before the first was measured
     */
    public record Settings(int slots, int maxQueued, double initialServiceMillis) {
        private static final int QUEUED_PER_SLOT = 64;
        private static final double INITIAL_SERVICE_MILLIS = 2;

        /** Checks ranges. */
        public Settings {
            if (slots < 1 || maxQueued < 1 || initialServiceMillis <= 0) {
                throw new IllegalArgumentException("server queue of " + slots + " slots, " + maxQueued + " queued and "
                        + initialServiceMillis + " ms is not valid; all must be positive");
            }
        }

        /** Returns the defaults for a number of slots. */
        public static Settings of(int slots) {
            return new Settings(slots, slots * QUEUED_PER_SLOT, INITIAL_SERVICE_MILLIS);
        }
    }

    /**
     * A queued request that will not be sent.
     *
     * @param value the request
     * @param code why
     * @param retryAfterMillis when to come back, or 0
     */
    public record Dropped<T>(T value, ResultCode code, long retryAfterMillis) {}

    /** Creates an empty queue. */
    public ServerQueue(Settings settings) {
        this.settings = settings;
        this.serviceTime = new ServiceTimeEstimate(settings.initialServiceMillis());
    }

    /**
     * Queues a request, or refuses it at once. Requests that made room for it are handed out by
     * {@link #takeDropped}.
     *
     * @param value the request
     * @param keyHash hash of its key
     * @param requestClass its class
     * @param deadlineMillis monotonic time by which its answer is wanted
     * @param nowMillis monotonic time
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
        double tooLongMillis = waitMillis - maxWaitMillis(queue, deadlineMillis, nowMillis);
        if (waitMillis > 0 && tooLongMillis > 0) {
            return Admission.refused(ResultCode.OVERLOADED, retryAfterMillis(tooLongMillis));
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
     * Returns how long a request may be expected to wait: by its deadline, less a reserve for slow
     * services and for requests that overtake it; and briefly only, once the queue has not been empty
     * for a while, since such a queue adds nothing but delay.
     */
    private double maxWaitMillis(FairQueue<T> queue, long deadlineMillis, long nowMillis) {
        double byDeadlineMillis = (deadlineMillis - nowMillis - serviceTime.upperBoundMillis()) / WAIT_SAFETY_FACTOR;
        boolean standing = queue.nonEmptyMillis(nowMillis) >= STANDING_QUEUE_MILLIS
                || interactive.nonEmptyMillis(nowMillis) >= STANDING_QUEUE_MILLIS;
        return standing ? Math.min(byDeadlineMillis, MAX_STANDING_WAIT_MILLIS) : byDeadlineMillis;
    }

    /** Returns whether others have waited so long without a break that deferrable requests would starve. */
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
        int waitsFor = Math.max(0, ahead - settings.slots() + 1);
        return waitsFor * serviceTime.meanMillis() / settings.slots();
    }

    /** Makes room for a request of a key by giving up one that has less claim to its place. */
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
     * Removes the requests that will not be sent: shed ones, and ones that can't be answered by their
     * deadline any more. The caller gives each its final answer at once.
     */
    public List<Dropped<T>> takeDropped(long nowMillis) {
        if (isSheddingDeferrable(nowMillis)) {
            deferrable.removeIf(item -> true).forEach(this::shed);
        }
        List<Dropped<T>> givenUp = new ArrayList<>(shed);
        shed.clear();
        double soonestAnswerMillis = nowMillis + Math.min(serviceTime.meanMillis(), MAX_SERVICE_RESERVE_MILLIS);
        for (FairQueue<T> queue : List.of(interactive, deferrable)) {
            for (T value : queue.removeIf(item -> item.deadlineMillis() < soonestAnswerMillis)) {
                givenUp.add(new Dropped<>(value, ResultCode.OVERLOADED, retryAfterMillis(drainMillis())));
            }
        }
        return givenUp;
    }

    /** Takes a slot for the request whose turn it is, if there are both. */
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

    /** Takes a slot for an extra attempt if one is free and nothing waits for it. */
    public boolean tryTakeIdleSlot() {
        if (busySlots >= settings.slots() || queued() > 0) {
            return false;
        }
        busySlots++;
        return true;
    }

    /** Frees a slot whose request was answered whole after a service time. */
    public void onAnswered(double serviceMillis) {
        serviceTime.add(serviceMillis);
        freeSlot();
    }

    /** Frees a slot whose request was not answered. */
    public void freeSlot() {
        if (busySlots == 0) {
            throw new IllegalStateException("no slot is taken");
        }
        busySlots--;
    }

    /** Removes every queued request that a condition holds for, and hands them out. */
    public List<T> removeIf(Predicate<T> condition) {
        List<T> removed = new ArrayList<>(interactive.removeIf(item -> condition.test(item.value())));
        removed.addAll(deferrable.removeIf(item -> condition.test(item.value())));
        return removed;
    }

    /** Returns how many requests are queued. */
    public int queued() {
        return interactive.size() + deferrable.size();
    }

    /** Returns how many slots are taken. */
    public int busySlots() {
        return busySlots;
    }

    /** Returns the mean of the measured service times. */
    public double meanServiceMillis() {
        return serviceTime.meanMillis();
    }

    /** Returns a service time that nearly all requests stay below. */
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
