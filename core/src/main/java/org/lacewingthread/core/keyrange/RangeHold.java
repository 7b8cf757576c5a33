package org.lacewingthread.core.keyrange;

import java.util.Optional;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/** The leader's state of one range: the step of its move, and how long each owner may hold the keys. */
final class RangeHold {
    /** Delay before a failed call is repeated. */
    static final long RETRY_MILLIS = 250;
    /** A grant whose call was aborted reaches the server within this time after the abort, or never. */
    private static final long ABORTED_CALL_DELIVERY_MILLIS = 50;
    /** Shortest useful hold; if less is left, a server that may be lost is granted the full hold. */
    private static final long MIN_USEFUL_HOLD_MILLIS = 300;

    /** A step of a move, or the state after it. */
    enum Phase {
        /** The former owner may still hold the keys and is asked to release them. */
        RELEASING,
        /** No other server holds the keys; the owner has not yet answered its first grant. */
        GRANTING,
        /** The owner holds the keys, and its grant is renewed at intervals. */
        HELD
    }

    final ServiceId service;
    final KeyRange range;
    final ServerStart owner;
    final Optional<ServerStart> movingFrom;
    Phase phase;
    /** Fence of the next grant to the owner; raised after a grant that failed. */
    long fence;
    /** Time after which no grant to the owner can be in force. */
    long ownerHeldUntilMillis;
    /** Value of {@link #ownerHeldUntilMillis} before the newest grant was sent. */
    long ownerHeldUntilBeforeCallMillis;
    /** Hold that the newest grant to the owner states, in milliseconds. */
    long lastGrantMillis;
    /** Whether a former leader that has not stopped yet may renew the owner's grant. */
    boolean formerLeadersMayRenew;
    /** Time after which no grant to the former owner can be in force. */
    long formerOwnerHeldUntilMillis;
    /** Fence of the former owner's newest grant, or a higher one if a former leader sent that grant. */
    long formerOwnerFence;
    /** Whether the newest grant was accepted and every unanswered one had a lower fence. */
    boolean confirmed;
    /** Whether a grant or release awaits its answer. */
    boolean callPending;

    /** Time by which the newest grant has arrived or was aborted. */
    long callDeliveredByMillis = Long.MIN_VALUE / 2;

    long nextCallAtMillis;
    Optional<String> handover = Optional.empty();
    /** When the first of the consecutive unanswered grants failed; empty while the owner answers. */
    Optional<Long> unansweredSinceMillis = Optional.empty();

    RangeHold(ServiceId service, RangeOwnership ownership, long fence, long nowMillis) {
        this.service = service;
        this.range = ownership.range();
        this.owner = ownership.owner();
        this.movingFrom = ownership.movingFrom();
        this.phase = ownership.isMoving() ? Phase.RELEASING : Phase.HELD;
        this.fence = fence;
        this.formerOwnerFence = fence;
        this.nextCallAtMillis = nowMillis;
        this.ownerHeldUntilMillis = nowMillis;
        this.formerOwnerHeldUntilMillis = nowMillis;
    }

    boolean matches(RangeOwnership ownership) {
        return range.equals(ownership.range()) && owner.equals(ownership.owner());
    }

    boolean overlaps(KeyRange other) {
        return range.firstKey() <= other.lastKey() && other.firstKey() <= range.lastKey();
    }

    /** Starts to grant the range to its owner, since the former owner no longer holds the keys. */
    void startGranting(long newFence, TakeoverReason reason, RangeEventListener listener, long nowMillis) {
        phase = Phase.GRANTING;
        fence = newFence;
        ServerStart formerOwner = movingFrom.orElseThrow();
        listener.onTakeover(
                service, range, owner, formerOwner, reason, newFence, formerOwnerHeldUntilMillis, nowMillis);
    }

    /** Returns why a former owner that has not answered a release can't hold the keys any more. */
    TakeoverReason reasonWithoutRelease(long nowMillis) {
        return nowMillis >= formerOwnerHeldUntilMillis ? TakeoverReason.EXPIRED : TakeoverReason.ENDED;
    }

    /**
     * Bounds the time for which a renewal by a former leader may be in force.
     *
     * @param latestArrivalMillis time by which each call of the former leaders has arrived or was aborted
     */
    void onFormerLeadersStopped(RangeLeaseTimes times, long latestArrivalMillis) {
        if (formerLeadersMayRenew) {
            formerLeadersMayRenew = false;
            ownerHeldUntilMillis = Math.max(ownerHeldUntilMillis, times.heldUntilMillis(latestArrivalMillis));
        }
    }

    /**
     * Records that a grant is sent, and sets its hold. The grant to a server that may be lost ends no
     * later than the one before it, so that the attempt does not delay the takeover of the keys.
     *
     * @param ownerSuspected whether the owner left a grant unanswered and has accepted none since
     * @param latestArrivalMillis time by which the call has arrived or was aborted
     */
    void onGrantSent(RangeLeaseTimes times, boolean ownerSuspected, long latestArrivalMillis) {
        callDeliveredByMillis = latestArrivalMillis;
        // Until it is answered, the renewal may arrive after a release that has the same fence.
        confirmed = false;
        ownerHeldUntilBeforeCallMillis = ownerHeldUntilMillis;
        long cappedHoldMillis = times.holdMillisEndingBy(ownerHeldUntilMillis, latestArrivalMillis);
        boolean extendsHold = !ownerSuspected || cappedHoldMillis < MIN_USEFUL_HOLD_MILLIS;
        lastGrantMillis = extendsHold ? times.holdMillis() : cappedHoldMillis;
        if (extendsHold) {
            ownerHeldUntilMillis = Math.max(ownerHeldUntilMillis, times.heldUntilMillis(latestArrivalMillis));
        }
    }

    void onGranted(RangeLeaseTimes times, long nowMillis) {
        boolean fullHold = lastGrantMillis == times.holdMillis();
        if (fullHold) {
            // Earlier unanswered grants had lower fences and can no longer take effect.
            ownerHeldUntilMillis = times.heldUntilMillis(nowMillis);
        }
        formerLeadersMayRenew = false;
        phase = Phase.HELD;
        confirmed = true;
        unansweredSinceMillis = Optional.empty();
        handover = Optional.empty();
        nextCallAtMillis = fullHold ? nowMillis + times.renewalIntervalMillis() : nowMillis;
    }

    void onGrantFailed(RangeLeaseTimes times, long newFence, long nowMillis) {
        boolean fullHold = lastGrantMillis == times.holdMillis();
        long heldUntilMillis = fullHold
                ? times.heldUntilMillis(nowMillis + ABORTED_CALL_DELIVERY_MILLIS)
                : ownerHeldUntilBeforeCallMillis;
        ownerHeldUntilMillis = Math.max(ownerHeldUntilBeforeCallMillis, heldUntilMillis);
        confirmed = false;
        fence = newFence;
        nextCallAtMillis = nowMillis + RETRY_MILLIS;
    }

    /** Carries over the state of an overlapping range of the previous table. */
    void inheritFrom(RangeHold other) {
        if (movingFrom.filter(other.owner::equals).isPresent()) {
            formerOwnerHeldUntilMillis = Math.max(formerOwnerHeldUntilMillis, other.ownerHeldUntilMillis);
            formerOwnerFence = other.fence;
            if (other.callPending) {
                // A pending renewal must not arrive after the release.
                nextCallAtMillis = Math.max(nextCallAtMillis, other.callDeliveredByMillis);
            }
        }
        if (other.phase == Phase.RELEASING && movingFrom.equals(other.movingFrom)) {
            formerOwnerHeldUntilMillis = Math.max(formerOwnerHeldUntilMillis, other.formerOwnerHeldUntilMillis);
            formerOwnerFence = other.formerOwnerFence;
        }
        if (owner.equals(other.owner)) {
            formerLeadersMayRenew |= other.formerLeadersMayRenew;
            ownerHeldUntilMillis = Math.max(ownerHeldUntilMillis, other.ownerHeldUntilMillis);
        }
    }
}
