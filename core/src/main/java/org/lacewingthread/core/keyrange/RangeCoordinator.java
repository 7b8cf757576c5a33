package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmStart;

/**
 * Leads the ownership of key ranges: one entry VM at a time records owners in the store, grants them
 * their ranges and renews the grants. Safety rests on three rules:
 *
 * <ul>
 *   <li>Every change of owner is recorded before it is carried out, by a conditional append, so that
 *       of two leaders only the newer one can move keys.
 *   <li>A new owner gets its grant after the former one has released the keys, started anew, or can no
 *       longer hold them because its last grant ran out.
 *   <li>A grant without answer is followed by one with a higher fence, and a move starts only from a
 *       grant that was answered, so that no late grant revives a former owner.
 * </ul>
 *
 * <pre>{@code
 * coordinator.onTable(table, logEnd, nowMillis);
 * coordinator.onChosen(true, nowMillis);
 * for (CoordinatorAction action : coordinator.step(servers, load, nowMillis)) { ... }
 * }</pre>
 *
 * <p>Times are milliseconds of a clock that never goes back and counts suspension.
 */
public final class RangeCoordinator {
    /** A grant arrives within this time of its sending, or never; calls are cut off before. */
    private static final long MAX_CALL_DELIVERY_MILLIS = 1_200;
    /** Pause before a record is written again that failed. */
    private static final long RECORD_RETRY_MILLIS = 200;
    /** How long word from the leader keeps another VM from taking over. */
    private static final long LEADER_ANSWER_VALIDITY_MILLIS = 1_500;
    /** A leader that the store has not answered for this long is replaced by one that it answers. */
    private static final long MAX_LEADER_STORE_SILENCE_MILLIS = 2_500;
    /** How often loads are compared for balance. */
    private static final long BALANCE_INTERVAL_MILLIS = 1_000;
    /** Fences of one term; a term never needs as many grants. */
    private static final long FENCES_PER_TERM = 1_000_000;

    private final Leader self;
    private final RangeLeaseTimes times;
    private final List<RangeHold> holds = new ArrayList<>();
    private final Map<Long, RangeHold> pendingCalls = new HashMap<>();
    private final ServerLiveness liveness = new ServerLiveness();
    private RangeTable table = RangeTable.EMPTY;
    private long logEnd = -1;
    private final Set<Leader> formerLeaders = new HashSet<>();
    private boolean leaderCandidate;
    private boolean leading;
    private long leadingSinceMillis;
    private long leaderPresumedAliveUntilMillis = Long.MIN_VALUE / 2;
    private long storeAnsweredMillis = Long.MIN_VALUE / 2;
    private boolean recordPending;
    /** Table that was last sent to be recorded. */
    private RangeTable proposedTable = RangeTable.EMPTY;

    private long nextRecordAtMillis;
    private long nextBalanceAtMillis;
    private long nextFence;
    private long nextCallId;

    /** Creates a coordinator that knows nothing yet. */
    public RangeCoordinator(Leader self, RangeLeaseTimes times) {
        this.self = self;
        this.times = times;
    }

    /** Returns the newest table. */
    public RangeTable table() {
        return table;
    }

    /** Returns the end of the log behind the newest table; negative if none is known. */
    public long logEnd() {
        return logEnd;
    }

    /** Tells whether this process leads, as far as it knows. */
    public boolean isLeading() {
        return leading;
    }

    /** Takes in whether this entry VM is the one that should lead. */
    public void setLeaderCandidate(boolean isChosen) {
        leaderCandidate = isChosen;
    }

    /**
     * Takes in that the leader answered a report.
     *
     * @param storeSilenceMillis how long the leader has had no word from the store
     */
    public void onLeaderAnswer(long storeSilenceMillis, long nowMillis) {
        if (storeSilenceMillis < MAX_LEADER_STORE_SILENCE_MILLIS) {
            leaderPresumedAliveUntilMillis = nowMillis + LEADER_ANSWER_VALIDITY_MILLIS;
        }
    }

    /** Returns the former leaders that may not know yet that they were replaced. */
    public Set<Leader> formerLeadersToNotify() {
        return leading ? Set.copyOf(formerLeaders) : Set.of();
    }

    /** Takes in that a former leader has stopped, or that another process runs in its place. */
    public void onFormerLeaderStopped(VmStart former, long nowMillis) {
        boolean removed = formerLeaders.removeIf(leader -> leader.process().equals(former));
        if (removed && formerLeaders.isEmpty()) {
            boundHoldsRenewedByFormerLeaders(nowMillis);
        }
    }

    /** Takes in that a newer leader exists; its table follows. */
    public void onNewTerm(long term) {
        if (leading && term > table.term()) {
            stopLeading();
        }
    }

    private void stopLeading() {
        leading = false;
        holds.clear();
        pendingCalls.clear();
    }

    private void boundHoldsRenewedByFormerLeaders(long nowMillis) {
        for (RangeHold hold : holds) {
            if (hold.formerLeadersMayRenew) {
                hold.formerLeadersMayRenew = false;
                hold.ownerHeldUntilMillis = Math.max(
                        hold.ownerHeldUntilMillis, times.heldUntilMillis(nowMillis + MAX_CALL_DELIVERY_MILLIS));
            }
        }
    }

    /** Returns how long there has been no word from the store. */
    public long storeSilenceMillis(long nowMillis) {
        return nowMillis - storeAnsweredMillis;
    }

    /**
     * Takes in that the store was heard.
     *
     * @param askedAtMillis when the question was sent
     */
    public void onStoreAnswer(long askedAtMillis) {
        storeAnsweredMillis = Math.max(storeAnsweredMillis, askedAtMillis);
    }

    /**
     * Takes in the newest recorded table.
     *
     * @param recorded the table
     * @param end end of the log behind it
     * @return whether it is news
     */
    public boolean onTable(RangeTable recorded, long end, long nowMillis) {
        if (end < logEnd || (end == logEnd && recorded.equals(table))) {
            return false;
        }
        logEnd = end;
        applyTable(recorded, nowMillis);
        return true;
    }

    /**
     * Takes in the outcome of a {@link CoordinatorAction.RecordTable}.
     *
     * @param newEnd end of the log behind the record if it was appended; empty if it was refused or its
     *     fate is unknown, in which case the log tells
     */
    public void onRecorded(CoordinatorAction.RecordTable record, Optional<Long> newEnd, long nowMillis) {
        recordPending = false;
        nextRecordAtMillis = nowMillis + RECORD_RETRY_MILLIS;
        if (newEnd.isPresent() && newEnd.get() > logEnd) {
            nextRecordAtMillis = nowMillis;
            logEnd = newEnd.get();
            onStoreAnswer(nowMillis);
            applyTable(record.table(), nowMillis);
        }
    }

    private void applyTable(RangeTable recorded, long nowMillis) {
        boolean leads = recorded.leader()
                .map(Leader::process)
                .filter(self.process()::equals)
                .isPresent();
        boolean newTerm = recorded.term() != table.term();
        table = recorded;
        if (!leads) {
            stopLeading();
            return;
        }
        if (!leading || newTerm) {
            leading = true;
            leadingSinceMillis = nowMillis;
            formerLeaders.clear();
            formerLeaders.addAll(recorded.formerLeaders());
            formerLeaders.removeIf(
                    former -> former.process().vm().equals(self.process().vm()));
            nextFence = recorded.term() * FENCES_PER_TERM;
            holds.clear();
            pendingCalls.clear();
        }
        rebuildHolds(nowMillis);
    }

    private void rebuildHolds(long nowMillis) {
        List<RangeHold> former = List.copyOf(holds);
        holds.clear();
        table.rangesByService().forEach((service, ranges) -> {
            List<RangeHold> known =
                    former.stream().filter(hold -> hold.service.equals(service)).toList();
            ranges.forEach(ownership -> holds.add(holdFor(service, ownership, known, nowMillis)));
        });
        pendingCalls.values().removeIf(hold -> !holds.contains(hold));
    }

    private RangeHold holdFor(ServiceId service, RangeOwnership ownership, List<RangeHold> known, long nowMillis) {
        List<RangeHold> overlapping =
                known.stream().filter(hold -> hold.overlaps(ownership.range())).toList();
        if (overlapping.size() == 1 && overlapping.get(0).matches(ownership)) {
            RangeHold same = overlapping.get(0);
            if (!ownership.isMoving() || same.movingFrom.equals(ownership.movingFrom())) {
                return same;
            }
        }
        RangeHold hold = new RangeHold(service, ownership, newFence(), nowMillis);
        boolean grantedInEarlierTerm = overlapping.isEmpty() && nowMillis == leadingSinceMillis;
        if (grantedInEarlierTerm) {
            hold.formerLeadersMayRenew = !formerLeaders.isEmpty();
            // No leader renews a former owner's grant once the move is on record.
            hold.ownerHeldUntilMillis = times.heldUntilMillis(nowMillis + MAX_CALL_DELIVERY_MILLIS);
            hold.formerOwnerHeldUntilMillis = hold.ownerHeldUntilMillis;
        }
        for (RangeHold other : overlapping) {
            hold.inheritFrom(other);
        }
        return hold;
    }

    private long newFence() {
        return ++nextFence;
    }

    /** Takes in an answered or failed grant. */
    public void onGrantAnswer(long call, GrantOutcome outcome, long nowMillis) {
        RangeHold hold = pendingCalls.remove(call);
        if (hold == null) {
            return;
        }
        hold.callPending = false;
        if (outcome == GrantOutcome.GRANTED) {
            hold.onGranted(times, nowMillis);
            liveness.recordAnswer(hold.owner);
        } else {
            hold.onGrantFailed(times, newFence(), nowMillis);
        }
        if (outcome == GrantOutcome.SERVER_REPLACED) {
            liveness.recordEnded(hold.owner);
        } else if (outcome == GrantOutcome.UNKNOWN) {
            liveness.recordUnansweredGrant(hold, nowMillis);
        }
    }

    /**
     * Takes in an answered or failed release.
     *
     * @param outcome whether the server has let go of the keys
     * @param handover token for the next owner
     */
    public void onReleaseAnswer(long call, ReleaseOutcome outcome, Optional<String> handover, long nowMillis) {
        RangeHold hold = pendingCalls.remove(call);
        if (hold == null) {
            return;
        }
        hold.callPending = false;
        hold.nextCallAtMillis = outcome == ReleaseOutcome.UNKNOWN ? nowMillis + RangeHold.RETRY_MILLIS : nowMillis;
        if (outcome == ReleaseOutcome.SERVER_REPLACED) {
            hold.movingFrom.ifPresent(liveness::recordEnded);
        }
        if (outcome != ReleaseOutcome.UNKNOWN) {
            hold.handover = handover;
            hold.startGranting(newFence());
        }
    }

    /** Returns what to do now. */
    public List<CoordinatorAction> step(Map<ServiceId, ServiceView> services, long nowMillis) {
        List<CoordinatorAction> actions = new ArrayList<>();
        if (!leading) {
            claimLeadership(actions, nowMillis);
            return actions;
        }
        if (nowMillis - storeAnsweredMillis > times.maxStoreSilenceMillis()) {
            return actions;
        }
        if (!formerLeaders.isEmpty() && nowMillis >= leadingSinceMillis + times.maxStoreSilenceMillis()) {
            formerLeaders.clear();
            boundHoldsRenewedByFormerLeaders(nowMillis);
        }
        liveness.removeExpired(nowMillis);
        for (RangeHold hold : holds) {
            stepHold(hold, services.get(hold.service), actions, nowMillis);
        }
        recordTableChanges(services, actions, nowMillis);
        return actions;
    }

    private void claimLeadership(List<CoordinatorAction> actions, long nowMillis) {
        boolean leaderIsWell = nowMillis < leaderPresumedAliveUntilMillis;
        if (leaderCandidate && !leaderIsWell && logEnd >= 0 && !recordPending && nowMillis >= nextRecordAtMillis) {
            proposeTable(table.withLeader(table.term() + 1, self), actions);
        }
    }

    private void proposeTable(RangeTable proposal, List<CoordinatorAction> actions) {
        recordPending = true;
        proposedTable = proposal;
        actions.add(new CoordinatorAction.RecordTable(proposal, logEnd));
    }

    private void stepHold(RangeHold hold, ServiceView view, List<CoordinatorAction> actions, long nowMillis) {
        if (hold.phase == RangeHold.Phase.RELEASING && formerOwnerCannotHold(hold, view, nowMillis)) {
            hold.callPending = false;
            hold.nextCallAtMillis = nowMillis;
            hold.startGranting(newFence());
        }
        if (hold.callPending
                || nowMillis < hold.nextCallAtMillis
                || shouldLetExpire(hold, view)
                || isMoveBeingRecorded(hold)) {
            return;
        }
        boolean moveConfirmed = nowMillis - storeAnsweredMillis <= times.maxStoreSilenceForMovesMillis();
        if (hold.phase != RangeHold.Phase.HELD && !moveConfirmed) {
            return;
        }
        long call = ++nextCallId;
        hold.callPending = true;
        pendingCalls.put(call, hold);
        if (hold.phase == RangeHold.Phase.RELEASING) {
            actions.add(new CoordinatorAction.Release(
                    call, hold.service, hold.movingFrom.orElseThrow(), hold.range, hold.formerOwnerFence));
        } else {
            actions.add(createGrant(call, hold, nowMillis));
        }
    }

    private CoordinatorAction.Grant createGrant(long call, RangeHold hold, long nowMillis) {
        hold.onGrantSent(times, liveness.isSuspected(hold.owner), nowMillis + MAX_CALL_DELIVERY_MILLIS);
        return new CoordinatorAction.Grant(
                call, hold.service, hold.owner, hold.range, hold.fence, hold.lastGrantMillis, hold.handover);
    }

    /** A renewal that is sent while a move is being recorded could arrive after the release and revive the hold. */
    private boolean isMoveBeingRecorded(RangeHold hold) {
        return recordPending
                && hold.phase == RangeHold.Phase.HELD
                && proposedTable.ranges(hold.service).stream()
                        .anyMatch(planned -> hold.overlaps(planned.range())
                                && !planned.owner().equals(hold.owner));
    }

    /** Tells whether renewals would only delay the takeover of a lost server's keys. */
    private boolean shouldLetExpire(RangeHold hold, ServiceView view) {
        if (hold.phase == RangeHold.Phase.RELEASING) {
            return false;
        }
        boolean gone = view != null && !view.registered().contains(hold.owner);
        return liveness.isUnresponsiveOrEnded(hold.owner) || (gone && !hold.confirmed);
    }

    private boolean formerOwnerCannotHold(RangeHold hold, ServiceView view, long nowMillis) {
        return nowMillis >= hold.formerOwnerHeldUntilMillis || liveness.hasEnded(hold.movingFrom.orElseThrow(), view);
    }

    private void recordTableChanges(
            Map<ServiceId, ServiceView> services, List<CoordinatorAction> actions, long nowMillis) {
        if (recordPending || nowMillis < nextRecordAtMillis || logEnd < 0) {
            return;
        }
        boolean balances = nowMillis >= nextBalanceAtMillis;
        if (balances) {
            nextBalanceAtMillis = nowMillis + BALANCE_INTERVAL_MILLIS;
        }
        RangeTable base = formerLeaders.isEmpty() ? table.withoutFormerLeaders() : table;
        RangeTable proposal = new RangeTableProposer(holds, liveness, nowMillis).propose(base, services, balances);
        if (!proposal.equals(table)) {
            proposeTable(proposal, actions);
        }
    }
}
