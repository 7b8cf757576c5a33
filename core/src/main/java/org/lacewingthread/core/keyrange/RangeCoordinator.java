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
 * Coordinates the ownership of key ranges on one entry VM. The leader records owners in the store,
 * grants them their ranges and renews the grants. Three rules keep a key from having two holders:
 *
 * <ul>
 *   <li>A change of owner is recorded by a conditional append before it is carried out, so that of two
 *       leaders only the newer one can move keys.
 *   <li>A new owner is granted keys only after the former one has released them, has ended, or can
 *       no longer hold them because its last grant has expired.
 *   <li>An unanswered grant is followed by one with a higher fence, and a move starts only from an
 *       answered grant, so that no delayed grant restores a former owner's hold.
 * </ul>
 *
 * <pre>{@code
 * coordinator.onTable(table, logEnd, nowMillis);
 * coordinator.setLeaderCandidate(true);
 * for (CoordinatorAction action : coordinator.step(services, nowMillis)) { ... }
 * }</pre>
 *
 * <p>Times are in milliseconds of a monotonic clock that also advances while the machine is suspended.
 */
public final class RangeCoordinator {
    /** A grant arrives within this time after it is sent, or never; calls are aborted earlier. */
    private static final long MAX_CALL_DELIVERY_MILLIS = 1_200;
    /** Delay after an attempt to record a table that was refused or got no answer. */
    private static final long RECORD_RETRY_MILLIS = 200;
    /** Interval at which ranges may move to balance load. */
    private static final long BALANCE_INTERVAL_MILLIS = 1_000;
    /** Fences reserved for each term; more than a term can use. */
    private static final long FENCES_PER_TERM = 1_000_000;

    private final Leader self;
    private final RangeLeaseTimes times;
    private final RangeEventListener listener;
    private final List<RangeHold> holds = new ArrayList<>();
    private final Map<Long, RangeHold> pendingCalls = new HashMap<>();
    private final ServerLiveness liveness = new ServerLiveness();
    private final LeaderPresence leaderPresence = new LeaderPresence();
    private RangeTable table = RangeTable.EMPTY;
    private long logEnd = -1;
    private final Set<Leader> formerLeaders = new HashSet<>();
    private boolean leaderCandidate;
    private boolean leading;
    private long leadingSinceMillis;
    /** Newest term that this process has been told of. */
    private long newestTerm;
    private long storeAnsweredMillis = Long.MIN_VALUE / 2;
    private boolean recordPending;
    private long recordAskedMillis;
    /** Newest table that this process proposed to record, whether or not the append succeeded. */
    private RangeTable proposedTable = RangeTable.EMPTY;

    private long nextRecordAtMillis;
    private long nextBalanceAtMillis;
    private long nextFence;
    private long nextCallId;

    /** Creates a coordinator without a table, which therefore doesn't lead. */
    public RangeCoordinator(Leader self, RangeLeaseTimes times) {
        this(self, times, RangeEventListener.NONE);
    }

    /** Creates a coordinator without a table that reports its decisions to a listener. */
    public RangeCoordinator(Leader self, RangeLeaseTimes times, RangeEventListener listener) {
        this.self = self;
        this.times = times;
        this.listener = listener;
    }

    /** Returns the newest known table. */
    public RangeTable table() {
        return table;
    }

    /** Returns the end of the store's log after the newest table; negative if no table is known. */
    public long logEnd() {
        return logEnd;
    }

    /** Returns whether this process leads according to the newest table and term that it knows. */
    public boolean isLeading() {
        return leading;
    }

    /** Sets whether the platform has chosen this entry VM to lead; it leads once that is recorded. */
    public void setLeaderCandidate(boolean isCandidate) {
        leaderCandidate = isCandidate;
    }

    /**
     * Records that the leader answered a load report.
     *
     * @param storeSilenceMillis time since the store last answered the leader
     */
    public void onLeaderAnswer(long storeSilenceMillis, long nowMillis) {
        leaderPresence.recordAnswer(storeSilenceMillis, nowMillis);
    }

    /** Returns former leaders that may not know of the new term yet; empty unless this process leads. */
    public Set<Leader> formerLeadersToNotify() {
        return leading ? Set.copyOf(formerLeaders) : Set.of();
    }

    /** Records that a former leader no longer leads, or that another process runs in its place. */
    public void onFormerLeaderStopped(VmStart former, long nowMillis) {
        boolean removed = formerLeaders.removeIf(leader -> leader.process().equals(former));
        if (removed && formerLeaders.isEmpty()) {
            onFormerLeadersStopped(RangeEventListener.StopEvidence.ANSWER, nowMillis);
        }
    }

    /**
     * Stops leading in terms before the given one, for good: neither a table that is read late nor the late answer of an
     * append makes this process lead in them again.
     */
    public void onNewTerm(long term) {
        newestTerm = Math.max(newestTerm, term);
        if (leading && table.term() < newestTerm) {
            stopLeading();
        }
    }

    private void stopLeading() {
        leading = false;
        holds.clear();
        pendingCalls.clear();
    }

    private void onFormerLeadersStopped(RangeEventListener.StopEvidence evidence, long nowMillis) {
        holds.forEach(hold -> hold.onFormerLeadersStopped(times, nowMillis + MAX_CALL_DELIVERY_MILLIS));
        listener.onFormerLeadersStopped(evidence, nowMillis);
    }

    /** Returns the time since the newest request that the store answered was sent. */
    public long storeSilenceMillis(long nowMillis) {
        return nowMillis - storeAnsweredMillis;
    }

    /**
     * Records that the store answered.
     *
     * @param askedAtMillis when the request was sent
     */
    public void onStoreAnswer(long askedAtMillis) {
        storeAnsweredMillis = Math.max(storeAnsweredMillis, askedAtMillis);
    }

    /**
     * Applies a recorded table unless a newer one is known.
     *
     * @param recorded the table
     * @param end end of the log after the table
     * @return whether the table was new
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
     * Records the result of a {@link CoordinatorAction.RecordTable}.
     *
     * @param result result of the append; if it is unknown, the table follows when the log is read
     */
    public void onRecorded(CoordinatorAction.RecordTable record, AppendResult result, long nowMillis) {
        recordPending = false;
        nextRecordAtMillis = nowMillis + RECORD_RETRY_MILLIS;
        if (result.newEnd().orElse(-1) > logEnd) {
            nextRecordAtMillis = nowMillis;
            logEnd = result.newEnd().getAsLong();
            onStoreAnswer(recordAskedMillis);
            applyTable(record.table(), nowMillis);
        }
    }

    private void applyTable(RangeTable recorded, long nowMillis) {
        boolean recordedAsLeader = recorded.leader()
                .map(Leader::process)
                .filter(self.process()::equals)
                .isPresent();
        boolean newTerm = recorded.term() != table.term();
        table = recorded;
        newestTerm = Math.max(newestTerm, recorded.term());
        if (!recordedAsLeader || recorded.term() < newestTerm) {
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
            long formerLeadersStoppedByMillis = nowMillis + times.maxStoreSilenceMillis();
            listener.onTermStarted(table.term(), Set.copyOf(formerLeaders), formerLeadersStoppedByMillis, nowMillis);
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
            // Once a move is recorded, no leader renews the former owner's grant.
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

    /** Returns whether a grant or release awaits its answer and belongs to a range of the table. */
    public boolean awaitsAnswer(long call) {
        return pendingCalls.containsKey(call);
    }

    /** Records the result of a grant; ignored if the call no longer belongs to a range of the table. */
    public void onGrantAnswer(long call, GrantOutcome outcome, long nowMillis) {
        RangeHold hold = pendingCalls.remove(call);
        if (hold == null) {
            return;
        }
        hold.callPending = false;
        if (outcome == GrantOutcome.GRANTED) {
            hold.onGranted(times, nowMillis);
        } else {
            hold.onGrantFailed(times, newFence(), nowMillis);
        }
        liveness.recordGrantOutcome(hold, outcome, nowMillis);
    }

    /**
     * Records the result of a release; ignored if the call no longer belongs to a range of the table.
     *
     * @param handover token for the next owner, if the server returned one
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
            hold.startGranting(newFence(), TakeoverReason.of(outcome), listener, nowMillis);
        }
    }

    /** Returns the actions to carry out now: calls to servers and, at most, one table to record. */
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
            onFormerLeadersStopped(RangeEventListener.StopEvidence.TIME, nowMillis);
        }
        liveness.removeExpired(nowMillis);
        for (RangeHold hold : holds) {
            stepHold(hold, services.get(hold.service), actions, nowMillis);
        }
        recordTableChanges(services, actions, nowMillis);
        return actions;
    }

    private void claimLeadership(List<CoordinatorAction> actions, long nowMillis) {
        boolean leaderAlive = leaderPresence.isPresumedAlive(nowMillis);
        if (leaderCandidate && !leaderAlive && logEnd >= 0 && !recordPending && nowMillis >= nextRecordAtMillis) {
            proposeTable(table.withLeader(table.term() + 1, self), actions, nowMillis);
        }
    }

    private void proposeTable(RangeTable proposal, List<CoordinatorAction> actions, long nowMillis) {
        recordPending = true;
        recordAskedMillis = nowMillis;
        proposedTable = proposal;
        actions.add(new CoordinatorAction.RecordTable(proposal, logEnd));
    }

    private void stepHold(RangeHold hold, ServiceView view, List<CoordinatorAction> actions, long nowMillis) {
        if (hold.phase == RangeHold.Phase.RELEASING && formerOwnerCannotHold(hold, view, nowMillis)) {
            hold.callPending = false;
            hold.nextCallAtMillis = nowMillis;
            hold.startGranting(newFence(), hold.reasonWithoutRelease(nowMillis), listener, nowMillis);
        }
        if (hold.callPending
                || nowMillis < hold.nextCallAtMillis
                || shouldLetExpire(hold, view)
                || isOwnerBeingReplaced(hold)) {
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

    /**
     * Returns whether a table is being recorded that gives keys of the range to another owner. A grant to the present
     * one might arrive after the release, or would be unknown to the move that follows.
     */
    private boolean isOwnerBeingReplaced(RangeHold hold) {
        return recordPending
                && hold.phase != RangeHold.Phase.RELEASING
                && proposedTable.ranges(hold.service).stream()
                        .anyMatch(planned -> hold.overlaps(planned.range())
                                && !planned.owner().equals(hold.owner));
    }

    /** Returns whether a hold is not renewed, since that would delay the takeover of a lost server's keys. */
    private boolean shouldLetExpire(RangeHold hold, ServiceView view) {
        if (hold.phase == RangeHold.Phase.RELEASING) {
            return false;
        }
        boolean unregistered = view != null && !view.registered().contains(hold.owner);
        return liveness.isUnresponsiveOrEnded(hold.owner) || (unregistered && !hold.confirmed);
    }

    private boolean formerOwnerCannotHold(RangeHold hold, ServiceView view, long nowMillis) {
        return nowMillis >= hold.formerOwnerHeldUntilMillis || liveness.hasEnded(hold.movingFrom.orElseThrow(), view);
    }

    private void recordTableChanges(
            Map<ServiceId, ServiceView> services, List<CoordinatorAction> actions, long nowMillis) {
        if (recordPending || nowMillis < nextRecordAtMillis || logEnd < 0) {
            return;
        }
        boolean balancesLoad = nowMillis >= nextBalanceAtMillis;
        if (balancesLoad) {
            nextBalanceAtMillis = nowMillis + BALANCE_INTERVAL_MILLIS;
        }
        RangeTable base = formerLeaders.isEmpty() ? table.withoutFormerLeaders() : table;
        RangeTable proposal = new RangeTableProposer(holds, liveness, nowMillis).propose(base, services, balancesLoad);
        if (!proposal.equals(table)) {
            proposeTable(proposal, actions, nowMillis);
        }
    }
}
