package org.lacewingthread.core.keyrange;

import java.util.Optional;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/** The leader's state of one range: the step of its move, the call under way and the next one. */
final class RangeHold {
    /** Delay before a failed call is repeated. */
    static final long RETRY_MILLIS = 250;
    /** Shortest useful hold; if less is left, a server that may be lost is granted the full hold. */
    private static final long MIN_USEFUL_HOLD_MILLIS = 300;
    /** Value of {@link #pendingCall} while no call awaits its answer. */
    private static final long NO_CALL = 0;

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
    /** Hold that the newest grant to the owner states, in milliseconds. */
    long lastGrantMillis;
    /** Fence of the former owner's newest grant, or a higher one if a former leader sent that grant. */
    long formerOwnerFence;
    /** Time after which no grant to the former owner can be in force, unless it releases the keys earlier. */
    long formerOwnerHeldUntilMillis;
    /** What the answer of the release shows; empty until there is one. */
    Optional<TakeoverReason> releaseResult = Optional.empty();

    long nextCallAtMillis;
    Optional<String> handover = Optional.empty();
    /** When the first of the consecutive unanswered grants failed; empty while the owner answers. */
    Optional<Long> unansweredSinceMillis = Optional.empty();

    /** When the newest answer came, if it is in doubt; empty otherwise. */
    private Optional<Long> newestDoubtMillis = Optional.empty();
    /** Since when the range has had to move while answers of its owner are in doubt; empty otherwise. */
    private Optional<Long> moveInDoubtSinceMillis = Optional.empty();

    /** When the newest grant that the owner certainly accepted was sent; far in the past before the first one. */
    long acceptedSentMillis = Long.MIN_VALUE / 2;

    private long pendingCall = NO_CALL;

    RangeHold(ServiceId service, RangeOwnership ownership, long fence, long nowMillis) {
        this.service = service;
        this.range = ownership.range();
        this.owner = ownership.owner();
        this.movingFrom = ownership.movingFrom();
        this.phase = ownership.isMoving() ? Phase.RELEASING : Phase.HELD;
        this.fence = fence;
        this.nextCallAtMillis = nowMillis;
    }

    boolean matches(RangeOwnership ownership) {
        return range.equals(ownership.range()) && owner.equals(ownership.owner());
    }

    boolean isCallPending() {
        return pendingCall != NO_CALL;
    }

    /** Records that a call is sent; the answers of earlier ones no longer change the state of the range. */
    void onCallSent(long call) {
        pendingCall = call;
    }

    /** Ends the call under way if it is the given one; returns whether it is. */
    boolean endCall(long call) {
        if (pendingCall != call) {
            return false;
        }
        pendingCall = NO_CALL;
        return true;
    }

    /** Starts to grant the range to its owner, since no other server can hold its keys. */
    void startGranting(long newFence, RangeEventListener listener, long nowMillis) {
        phase = Phase.GRANTING;
        fence = newFence;
        pendingCall = NO_CALL;
        nextCallAtMillis = nowMillis;
        listener.onTakeover(
                service,
                range,
                owner,
                movingFrom.orElseThrow(),
                releaseResult.orElseGet(() -> reasonWithoutRelease(nowMillis)),
                newFence,
                formerOwnerHeldUntilMillis,
                nowMillis);
    }

    private TakeoverReason reasonWithoutRelease(long nowMillis) {
        if (owner.server().equals(movingFrom.orElseThrow().server())) {
            return TakeoverReason.RESTARTED;
        }
        return nowMillis >= formerOwnerHeldUntilMillis ? TakeoverReason.EXPIRED : TakeoverReason.ENDED;
    }

    /**
     * Sets the hold of the grant that is sent next. The grant to a server that may be lost ends no later than the one
     * before it, so that the attempt does not delay the takeover of the keys.
     *
     * @param ownerSuspected whether the owner left a grant unanswered and has accepted none since
     * @param heldUntilMillis time after which none of the owner's grants so far can be in force
     * @param latestArrivalMillis time by which the call has arrived or was aborted
     */
    void prepareGrant(RangeLeaseTimes times, boolean ownerSuspected, long heldUntilMillis, long latestArrivalMillis) {
        long cappedHoldMillis = times.holdMillisEndingBy(heldUntilMillis, latestArrivalMillis);
        boolean extendsHold = !ownerSuspected || cappedHoldMillis < MIN_USEFUL_HOLD_MILLIS;
        lastGrantMillis = extendsHold ? times.holdMillis() : cappedHoldMillis;
    }

    void onGranted(RangeLeaseTimes times, long sentMillis, long nowMillis) {
        acceptedSentMillis = sentMillis;
        newestDoubtMillis = Optional.empty();
        handover = Optional.empty();
        becomeHeld(times, nowMillis);
    }

    /**
     * Records an answer that may be a second one to an earlier grant.
     *
     * @param newFence fence of the next grant, whose answer then also settles this one
     */
    void onGrantedInDoubt(RangeLeaseTimes times, long newFence, long nowMillis) {
        fence = newFence;
        newestDoubtMillis = Optional.of(nowMillis);
        becomeHeld(times, nowMillis);
    }

    /** Records whether the owner has to give up the range, which it can once an answer of it is certain. */
    void setHasToMove(boolean hasToMove, long nowMillis) {
        moveInDoubtSinceMillis = hasToMove && newestDoubtMillis.isPresent()
                ? moveInDoubtSinceMillis.or(() -> Optional.of(nowMillis))
                : Optional.empty();
    }

    /** Returns whether the next call is due; a grant whose answer is in doubt is repeated soon if the range has to move. */
    boolean isCallDue(long nowMillis) {
        boolean repeatsSoon = moveInDoubtSinceMillis.isPresent()
                && newestDoubtMillis
                        .filter(doubt -> nowMillis >= doubt + RETRY_MILLIS)
                        .isPresent();
        return !isCallPending() && (repeatsSoon || nowMillis >= nextCallAtMillis);
    }

    /** Returns whether the range has had to move since a time or earlier, and no answer was certain. */
    boolean isMoveInDoubtSince(long millis) {
        return moveInDoubtSinceMillis.filter(since -> since <= millis).isPresent();
    }

    private void becomeHeld(RangeLeaseTimes times, long nowMillis) {
        phase = Phase.HELD;
        unansweredSinceMillis = Optional.empty();
        boolean fullHold = lastGrantMillis == times.holdMillis();
        nextCallAtMillis = fullHold ? nowMillis + times.renewalIntervalMillis() : nowMillis;
    }

    void onGrantFailed(long newFence, long nowMillis) {
        fence = newFence;
        nextCallAtMillis = nowMillis + RETRY_MILLIS;
    }

    void onReleaseAnswer(ReleaseOutcome outcome, Optional<String> token, long nowMillis) {
        nextCallAtMillis = outcome == ReleaseOutcome.UNKNOWN ? nowMillis + RETRY_MILLIS : nowMillis;
        if (outcome != ReleaseOutcome.UNKNOWN) {
            releaseResult = Optional.of(TakeoverReason.of(outcome));
            handover = token;
        }
    }

    /**
     * Carries over the state of an overlapping range of the previous table.
     *
     * @return whether the release under way at the other range now belongs to this one
     */
    boolean inheritFrom(RangeHold other) {
        if (movingFrom.filter(other.owner::equals).isPresent()) {
            formerOwnerFence = Math.max(formerOwnerFence, other.fence);
        }
        boolean sameFormerOwner = movingFrom.isPresent() && movingFrom.equals(other.movingFrom);
        if (sameFormerOwner && other.phase == Phase.RELEASING) {
            formerOwnerFence = Math.max(formerOwnerFence, other.formerOwnerFence);
        }
        if (!sameFormerOwner || !range.equals(other.range) || other.phase == Phase.HELD) {
            return false;
        }
        releaseResult = other.releaseResult;
        handover = other.handover;
        if (other.phase != Phase.RELEASING || !other.isCallPending()) {
            return false;
        }
        pendingCall = other.pendingCall;
        return true;
    }

    long pendingCall() {
        return pendingCall;
    }
}
