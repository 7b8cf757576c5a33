package org.lacewingthread.core.keyrange;

import java.util.Optional;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/** What the leader knows about one range's grants. */
final class RangeHold {
    /** Pause before a call is repeated that got no answer. */
    static final long RETRY_MILLIS = 250;
    /** A grant whose call was cut off has arrived within this time, or never does. */
    private static final long ABORTED_CALL_DELIVERY_MILLIS = 50;
    /** Shortest hold that is worth a call; below it, a server that may be lost gets a whole one. */
    private static final long MIN_USEFUL_HOLD_MILLIS = 300;

    /** Step of a move. */
    enum Phase {
        /** The former owner may still hold the keys. */
        RELEASING,
        /** Nobody else holds the keys; the owner's first grant is on its way. */
        GRANTING,
        /** The owner holds the keys; renewed from time to time. */
        HELD
    }

    final ServiceId service;
    final KeyRange range;
    final ServerStart owner;
    final Optional<ServerStart> movingFrom;
    Phase phase;
    /** Fence of the newest grant to the owner, or of the former owner's while releasing. */
    long fence;
    /** When no grant to the owner can be in force any more. */
    long ownerHeldUntilMillis;
    /** The same before the grant that is on its way. */
    long ownerHeldUntilBeforeCallMillis;
    /** Length of the newest grant to the owner. */
    long lastGrantMillis;
    /** Whether a former leader may still renew the owner's grant. */
    boolean formerLeadersMayRenew;
    /** When no grant to the former owner can be in force any more. */
    long formerOwnerHeldUntilMillis;
    /** Fence of the former owner's newest grant. */
    long formerOwnerFence;
    /** Whether the newest grant was answered and every unanswered one had a lower fence. */
    boolean confirmed;
    /** Whether a call is on its way. */
    boolean callPending;

    /** When the newest grant has arrived or was cut off. */
    long callDeliveredByMillis = Long.MIN_VALUE / 2;

    long nextCallAtMillis;
    Optional<String> handover = Optional.empty();
    /** When the first of the newest run of grants went unanswered; empty while the owner answers. */
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

    /** Notes that the former owner holds the keys no longer. */
    void startGranting(long newFence) {
        phase = Phase.GRANTING;
        fence = newFence;
    }

    /**
     * Notes a grant that goes out. A server that may be lost is asked by a grant that ends with the one
     * before, so that asking does not delay the takeover of its keys.
     *
     * @param latestArrivalMillis when the call has arrived or was cut off
     */
    void onGrantSent(RangeLeaseTimes times, boolean ownerSuspected, long latestArrivalMillis) {
        callDeliveredByMillis = latestArrivalMillis;
        // Until its answer, the renewal may still arrive after a release of the same fence.
        confirmed = false;
        ownerHeldUntilBeforeCallMillis = ownerHeldUntilMillis;
        long endingMillis = times.holdMillisEndingBy(ownerHeldUntilMillis, latestArrivalMillis);
        boolean prolongs = !ownerSuspected || endingMillis < MIN_USEFUL_HOLD_MILLIS;
        lastGrantMillis = prolongs ? times.holdMillis() : endingMillis;
        if (prolongs) {
            ownerHeldUntilMillis = Math.max(ownerHeldUntilMillis, times.heldUntilMillis(latestArrivalMillis));
        }
    }

    void onGranted(RangeLeaseTimes times, long nowMillis) {
        boolean whole = lastGrantMillis == times.holdMillis();
        if (whole) {
            // Earlier grants without answer had lower fences and can't take effect any more.
            ownerHeldUntilMillis = times.heldUntilMillis(nowMillis);
        }
        formerLeadersMayRenew = false;
        phase = Phase.HELD;
        confirmed = true;
        unansweredSinceMillis = Optional.empty();
        handover = Optional.empty();
        nextCallAtMillis = whole ? nowMillis + times.renewalIntervalMillis() : nowMillis;
    }

    void onGrantFailed(RangeLeaseTimes times, long newFence, long nowMillis) {
        boolean whole = lastGrantMillis == times.holdMillis();
        long heldMillis = whole
                ? times.heldUntilMillis(nowMillis + ABORTED_CALL_DELIVERY_MILLIS)
                : ownerHeldUntilBeforeCallMillis;
        ownerHeldUntilMillis = Math.max(ownerHeldUntilBeforeCallMillis, heldMillis);
        confirmed = false;
        fence = newFence;
        nextCallAtMillis = nowMillis + RETRY_MILLIS;
    }

    /** Takes over what is known of an overlapping range before the table changed. */
    void inheritFrom(RangeHold other) {
        if (movingFrom.filter(other.owner::equals).isPresent()) {
            formerOwnerHeldUntilMillis = Math.max(formerOwnerHeldUntilMillis, other.ownerHeldUntilMillis);
            formerOwnerFence = other.fence;
            if (other.callPending) {
                // A release must not be overtaken by a renewal that is still on its way.
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
