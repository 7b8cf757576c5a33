package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/** The ranges of the recorded table as the leader of a term sees them: sends their calls and applies the answers. */
final class RangeHolds {
    /** A grant arrives within this time after it is sent, or never; calls are aborted earlier. */
    private static final long MAX_CALL_DELIVERY_MILLIS = 1_200;
    /**
     * Most grants under way to servers that answer, and as many to those that left one unanswered. With more, a VM with
     * little processor time opens connections until the time of all of them is over.
     */
    private static final int MAX_GRANTS_UNDER_WAY = 24;
    /** Time in doubt after which a range that has to move is no longer renewed, so that it moves once its grants expire. */
    private static final long MAX_DOUBT_MILLIS = 1_000;
    /** Ranges that nobody holds come first, then those that have waited longest. */
    private static final Comparator<RangeHold> MOST_URGENT_FIRST = Comparator.comparing(
                    (RangeHold hold) -> hold.phase == RangeHold.Phase.HELD)
            .thenComparingLong(hold -> hold.nextCallAtMillis);
    /** Fences reserved for each term; more than a term can use. */
    private static final long FENCES_PER_TERM = 1_000_000;

    private final RangeLeaseTimes times;
    private final RangeEventListener listener;
    private final GrantLedger ledger;
    private final ServerLinks serverLinks;
    private final ServerLiveness liveness;
    private final List<RangeHold> holds = new ArrayList<>();
    private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
    private long nextFence;
    private long nextCallId;

    /**
     * A grant or a release that awaits its answer.
     *
     * @param hold range for which it was sent
     * @param server server that received it
     * @param settlementMark for a release, the newest settlement when it was sent
     * @param sentMillis when it was sent
     */
    private record PendingCall(RangeHold hold, ServerStart server, long settlementMark, long sentMillis) {
        boolean isGrant() {
            return server.equals(hold.owner);
        }
    }

    RangeHolds(
            RangeLeaseTimes times, RangeEventListener listener, ServerLinks serverLinks, LongSupplier clockLeadMillis) {
        this.times = times;
        this.listener = listener;
        this.serverLinks = serverLinks;
        this.liveness = new ServerLiveness(serverLinks);
        this.ledger = new GrantLedger(times, clockLeadMillis);
    }

    /** Forgets the ranges and the calls under way, since this process stops leading. */
    void clear() {
        holds.clear();
        pendingCalls.clear();
    }

    /**
     * Starts a term with the ranges of a table.
     *
     * @param formerLeadersMayRenew whether leaders of earlier terms may still renew the grants of the recorded owners
     */
    void startTerm(RangeTable table, boolean formerLeadersMayRenew, long nowMillis) {
        clear();
        nextFence = table.term() * FENCES_PER_TERM;
        long latestArrivalMillis = nowMillis + MAX_CALL_DELIVERY_MILLIS;
        ledger.clear();
        Optional<Long> lastRenewalMillis = formerLeadersMayRenew ? Optional.empty() : Optional.of(latestArrivalMillis);
        table.rangesByService()
                .forEach((service, ranges) -> ranges.forEach(ownership -> {
                    ledger.addGrantOfFormerLeaders(service, ownership.owner(), ownership.range(), lastRenewalMillis);
                    ownership
                            .movingFrom()
                            .ifPresent(former -> ledger.addGrantBeforeRecordedMove(
                                    service, former, ownership.range(), latestArrivalMillis));
                }));
        applyTable(table, nowMillis);
    }

    /** Records that the leaders of earlier terms have stopped. */
    void onFormerLeadersStopped(long nowMillis) {
        ledger.onFormerLeadersStopped(nowMillis + MAX_CALL_DELIVERY_MILLIS);
    }

    /** Returns the time into a term after which no grant of a leader whose tables were lost can be in force. */
    long endOfLostGrantsMillis() {
        return times.heldUntilMillis(times.maxStoreSilenceMillis() + MAX_CALL_DELIVERY_MILLIS);
    }

    /** Applies a newer table of the same term. */
    void applyTable(RangeTable table, long nowMillis) {
        List<RangeHold> former = List.copyOf(holds);
        holds.clear();
        table.rangesByService().forEach((service, ranges) -> {
            List<RangeHold> known =
                    former.stream().filter(hold -> hold.service.equals(service)).toList();
            ranges.forEach(ownership -> holds.add(holdFor(service, ownership, known, nowMillis)));
        });
    }

    private RangeHold holdFor(ServiceId service, RangeOwnership ownership, List<RangeHold> known, long nowMillis) {
        List<RangeHold> overlapping = known.stream()
                .filter(hold -> hold.range.overlaps(ownership.range()))
                .toList();
        if (overlapping.size() == 1 && overlapping.get(0).matches(ownership)) {
            RangeHold same = overlapping.get(0);
            if (!ownership.isMoving() || same.movingFrom.equals(ownership.movingFrom())) {
                return same;
            }
        }
        RangeHold hold = new RangeHold(service, ownership, newFence(), nowMillis);
        for (RangeHold other : overlapping) {
            if (hold.inheritFrom(other)) {
                pendingCalls.computeIfPresent(
                        hold.pendingCall(),
                        (call, pending) -> new PendingCall(
                                hold, pending.server(), pending.settlementMark(), pending.sentMillis()));
            }
        }
        if (hold.formerOwnerFence == 0) {
            hold.formerOwnerFence = hold.fence;
        }
        hold.movingFrom.ifPresent(former ->
                hold.formerOwnerHeldUntilMillis = ledger.heldUntilMillis(service, former, hold.range, nowMillis));
        return hold;
    }

    private long newFence() {
        return ++nextFence;
    }

    /** Returns whether a call awaits its answer. */
    boolean awaitsAnswer(long call) {
        return pendingCalls.containsKey(call);
    }

    /** Records the result of a grant. It counts even if the table has changed meanwhile. */
    void onGrantAnswer(long call, GrantOutcome outcome, long nowMillis) {
        PendingCall pending = pendingCalls.remove(call);
        if (pending == null) {
            return;
        }
        RangeHold hold = pending.hold();
        if (outcome.isAnswer()) {
            serverLinks.recordAnswer(nowMillis);
        }
        ledger.onGrantAnswer(call, pending.server(), outcome, nowMillis);
        boolean newest = hold.endCall(call);
        if (newest && outcome == GrantOutcome.GRANTED) {
            hold.onGranted(times, pending.sentMillis(), nowMillis);
        } else if (newest && outcome == GrantOutcome.GRANTED_IN_DOUBT) {
            hold.onGrantedInDoubt(times, newFence(), nowMillis);
        } else if (newest) {
            hold.onGrantFailed(newFence(), nowMillis);
        }
        // Renewals by former leaders have no known end, which must not exclude the server for good.
        long latestEndMillis = times.heldUntilMillis(nowMillis + MAX_CALL_DELIVERY_MILLIS);
        long heldUntilMillis = ledger.heldUntilMillis(hold.service, hold.owner, hold.range, nowMillis);
        // A server that takes no connections is excluded for as long as one that leaves grants unanswered.
        long excludedFromMillis =
                outcome == GrantOutcome.NOT_SENT ? latestEndMillis : Math.min(heldUntilMillis, latestEndMillis);
        liveness.recordGrantOutcome(hold, outcome, pending.sentMillis(), excludedFromMillis, nowMillis);
    }

    /** Records the result of a release. It counts even if the table has changed meanwhile. */
    void onReleaseAnswer(long call, ReleaseOutcome outcome, Optional<String> handover, long nowMillis) {
        PendingCall pending = pendingCalls.remove(call);
        if (pending == null) {
            return;
        }
        RangeHold hold = pending.hold();
        if (outcome == ReleaseOutcome.RELEASED) {
            ledger.onReleased(hold.service, pending.server(), hold.range, pending.settlementMark());
        } else if (outcome == ReleaseOutcome.SERVER_REPLACED) {
            liveness.recordEnded(pending.server());
            ledger.removeServer(pending.server());
        }
        if (hold.endCall(call)) {
            hold.onReleaseAnswer(outcome, handover, nowMillis);
            startGrantingIfFree(hold, nowMillis);
        }
    }

    /**
     * Adds the calls to send now.
     *
     * @param movesAllowed whether the store answered recently enough for steps of moves
     * @param ownerMayBeReplaced whether a table that may have been recorded gives keys of a range to another owner; a
     *     grant to the present owner would be unknown to the move, or arrive after the release
     */
    void step(
            Map<ServiceId, ServiceView> services,
            boolean movesAllowed,
            Predicate<RangeHold> ownerMayBeReplaced,
            List<CoordinatorAction> actions,
            long nowMillis) {
        liveness.removeExpired(nowMillis);
        ledger.removeExpired(nowMillis);
        holds.forEach(hold -> startGrantingIfFree(hold, nowMillis));
        holds.forEach(hold -> hold.setHasToMove(hasToMove(hold, services.get(hold.service)), nowMillis));
        List<RangeHold> due = holds.stream()
                .filter(hold -> hold.isCallDue(nowMillis))
                .filter(hold -> movesAllowed || hold.phase == RangeHold.Phase.HELD)
                .filter(hold -> !isRecipientClosed(hold, services.get(hold.service)))
                .sorted(MOST_URGENT_FIRST)
                .toList();
        GrantWindow window = new GrantWindow();
        for (RangeHold hold : due) {
            if (hold.phase == RangeHold.Phase.RELEASING) {
                release(hold, actions, nowMillis);
            } else if (window.hasRoomFor(hold.owner)
                    && !shouldLetExpire(hold, services.get(hold.service), nowMillis)
                    && !ownerMayBeReplaced.test(hold)
                    && isFree(hold, nowMillis)) {
                grant(hold, actions, nowMillis);
                window.add(hold.owner);
            }
        }
    }

    /** Returns whether the server that would get the next call for a range is in an evacuated data centre. */
    private static boolean isRecipientClosed(RangeHold hold, ServiceView view) {
        ServerStart recipient =
                hold.phase == RangeHold.Phase.RELEASING ? hold.movingFrom.orElse(hold.owner) : hold.owner;
        return view != null && view.closed().contains(recipient);
    }

    /** Counts the grants under way, apart for servers whose silence must not hold up the others. */
    private final class GrantWindow {
        private int toAnswering;
        private int toSuspected;

        GrantWindow() {
            pendingCalls.values().stream().filter(PendingCall::isGrant).forEach(call -> add(call.server()));
        }

        boolean hasRoomFor(ServerStart owner) {
            return (liveness.isSuspected(owner) ? toSuspected : toAnswering) < MAX_GRANTS_UNDER_WAY;
        }

        void add(ServerStart owner) {
            if (liveness.isSuspected(owner)) {
                toSuspected++;
            } else {
                toAnswering++;
            }
        }
    }

    /** Starts to grant a moving range to its new owner once no other server can hold the keys. */
    private void startGrantingIfFree(RangeHold hold, long nowMillis) {
        if (hold.phase == RangeHold.Phase.RELEASING && isFree(hold, nowMillis)) {
            hold.startGranting(newFence(), listener, nowMillis);
        }
    }

    /** Returns whether no server but the owner, or another start of it, can hold keys of the range. */
    private boolean isFree(RangeHold hold, long nowMillis) {
        return !ledger.mayBeHeldByOthers(hold.service, hold.range, hold.owner, liveness::hasEnded, nowMillis);
    }

    /** Asks the former owner to release the range, unless a grant that is under way might arrive after the release. */
    private void release(RangeHold hold, List<CoordinatorAction> actions, long nowMillis) {
        ServerStart formerOwner = hold.movingFrom.orElseThrow();
        if (hold.releaseResult.isPresent() || ledger.hasPendingGrant(hold.service, formerOwner, hold.range)) {
            return;
        }
        long call = ++nextCallId;
        hold.onCallSent(call);
        pendingCalls.put(call, new PendingCall(hold, formerOwner, ledger.settlementMark(), nowMillis));
        actions.add(new CoordinatorAction.Release(call, hold.service, formerOwner, hold.range, hold.formerOwnerFence));
    }

    private void grant(RangeHold hold, List<CoordinatorAction> actions, long nowMillis) {
        long call = ++nextCallId;
        long latestArrivalMillis = nowMillis + MAX_CALL_DELIVERY_MILLIS;
        long heldUntilMillis = ledger.heldUntilMillis(hold.service, hold.owner, hold.range, nowMillis);
        hold.prepareGrant(times, liveness.isSuspected(hold.owner), heldUntilMillis, latestArrivalMillis);
        hold.onCallSent(call);
        pendingCalls.put(call, new PendingCall(hold, hold.owner, 0, nowMillis));
        ledger.onGrantSent(
                call,
                hold.service,
                hold.owner,
                hold.range,
                hold.fence,
                hold.lastGrantMillis,
                nowMillis,
                latestArrivalMillis);
        actions.add(new CoordinatorAction.Grant(
                call, hold.service, hold.owner, hold.range, hold.fence, hold.lastGrantMillis, hold.handover));
    }

    /** Returns whether a hold is not renewed, since that would delay the move of its keys to another server. */
    private boolean shouldLetExpire(RangeHold hold, ServiceView view, long nowMillis) {
        if (ServerLiveness.hasRestarted(hold.owner, view)) {
            // The next start accepts the grant, after which none that is under way takes effect there.
            liveness.recordRestart(hold.owner);
            return liveness.isUnresponsiveOrEnded(hold.owner);
        }
        boolean unregistered = view != null && !view.registered().contains(hold.owner);
        return liveness.isUnresponsiveOrEnded(hold.owner)
                || hold.isMoveInDoubtSince(nowMillis - MAX_DOUBT_MILLIS)
                || (unregistered && !ledger.isConfirmed(hold.service, hold.owner, hold.range, nowMillis));
    }

    /** Returns whether the owner takes no more keys, so that the range is to move as soon as its grants are settled. */
    private static boolean hasToMove(RangeHold hold, ServiceView view) {
        return view != null
                && !view.capacityByServer().containsKey(hold.owner)
                && !view.leavingLater().contains(hold.owner);
    }

    /** Returns whether the owners of all ranges accepted a grant of this term that was sent at a time or later. */
    boolean areAllAcceptedSince(long sentMillis) {
        return holds.stream().allMatch(hold -> isAcceptedSince(hold, sentMillis));
    }

    /** Returns the ranges whose owners accepted a grant of this term that was sent at a time or later. */
    Map<ServiceId, List<RangeOwnership>> acceptedSince(long sentMillis) {
        Map<ServiceId, List<RangeOwnership>> accepted = new HashMap<>();
        holds.stream().filter(hold -> isAcceptedSince(hold, sentMillis)).forEach(hold -> accepted.computeIfAbsent(
                        hold.service, service -> new ArrayList<>())
                .add(RangeOwnership.settled(hold.range, hold.owner)));
        return accepted;
    }

    private static boolean isAcceptedSince(RangeHold hold, long sentMillis) {
        return hold.phase == RangeHold.Phase.HELD && hold.acceptedSentMillis >= sentMillis;
    }

    /** Returns the table to be recorded next, derived from the state of the ranges. */
    RangeTable propose(RangeTable base, Map<ServiceId, ServiceView> services, boolean balancesLoad, long nowMillis) {
        return new RangeTableProposer(holds, ledger, liveness, nowMillis).propose(base, services, balancesLoad);
    }
}
