package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmStart;

/**
 * Coordinates the ownership of key ranges on one entry VM. The leader records owners in the store,
 * grants them their ranges and renews the grants. These rules keep a key from having two holders:
 *
 * <ul>
 *   <li>A change of owner is recorded by a conditional append before it is carried out, so that of two
 *       leaders only the newer one can move keys.
 *   <li>A new owner is granted keys only after the former one has released them, has ended, or can
 *       no longer hold them because its last grant has expired.
 *   <li>An unanswered grant is followed by one with a higher fence, and a move starts only from an
 *       answered grant, so that no delayed grant restores a former owner's hold.
 *   <li>A range is granted only while none of the other servers' grants may be in force or arrive, whatever became of
 *       the ranges that they were sent for.
 *   <li>While a table may have been recorded that gives keys to another owner, their present owner gets no
 *       grant. An append whose result is unknown may have been carried out, or may be later.
 *   <li>Once the store may have lost its newest tables, only those owners are kept of which it is certain that no lost
 *       leader gave their keys away; all other keys wait until no lost leader's grant can be in force.
 * </ul>
 *
 * <pre>{@code
 * coordinator.onTable(table, position, nowMillis);
 * coordinator.setLeaderCandidate(true);
 * for (CoordinatorAction action : coordinator.step(services, nowMillis)) { ... }
 * }</pre>
 *
 * <p>Times are in milliseconds of a monotonic clock that also advances while the machine is suspended. Where this is
 * judged by the time of day, the clock may run ahead; holds of servers and the time that former leaders may act are
 * therefore measured without such advances.
 */
public final class RangeCoordinator {
    private final Leader self;
    private final RangeLeaseTimes times;
    private final RangeEventListener listener;
    private final LongSupplier clockLeadMillis;
    private final RangeHolds holds;
    private final TableAppends appends = new TableAppends();
    private final LeaderPresence leaderPresence = new LeaderPresence();
    private final ServerLinks serverLinks = new ServerLinks();
    private final StoreEras eras;
    private final BalanceSchedule balanceSchedule = new BalanceSchedule();
    private RangeTable table = RangeTable.EMPTY;
    private long logEnd = -1;
    private final Set<Leader> formerLeaders = new HashSet<>();
    /** Whether leaders whose tables the store lost may still act in this term. */
    private boolean lostLeadersMayAct;
    /** Whether the newest record of the log is of an earlier era than {@link #table}, so that readers may not see that. */
    private boolean tableIsHidden;

    private boolean leaderCandidate;
    private boolean leading;
    /** Start of the term, by the clock without its advances. */
    private long leadingSinceSteadyMillis;
    /** Newest term that this process has been told of. */
    private long newestTerm;

    /**
     * Creates a coordinator without a table, which therefore doesn't lead, that reports its decisions to a listener.
     *
     * @param clockLeadMillis returns by how much the clock may have run ahead so far, in milliseconds; never decreases
     * @param firstUse tells whether an empty log shows that no key is held
     */
    public RangeCoordinator(
            Leader self,
            RangeLeaseTimes times,
            RangeEventListener listener,
            LongSupplier clockLeadMillis,
            FirstUse firstUse) {
        this.self = self;
        this.times = times;
        this.listener = listener;
        this.clockLeadMillis = clockLeadMillis;
        this.eras = new StoreEras(firstUse);
        this.holds = new RangeHolds(times, listener, serverLinks, clockLeadMillis);
    }

    /** Returns the newest known table. */
    public RangeTable table() {
        return table;
    }

    /** Returns the position of the newest record that was read; its end is negative if none was in the newest era. */
    public LogPosition position() {
        return new LogPosition(eras.era(), logEnd);
    }

    /** Returns whether the newest known table is recorded in the newest known era, so that others may use it. */
    public boolean isTableRecorded() {
        return logEnd >= 0 && table.era() == eras.era();
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
     * @param linksImpaired whether the leader reaches no server, or far fewer than another entry VM
     */
    public void onLeaderAnswer(long storeSilenceMillis, boolean linksImpaired, long nowMillis) {
        leaderPresence.recordAnswer(storeSilenceMillis, linksImpaired, nowMillis);
    }

    /**
     * Records when any server last answered this VM, be it a grant, a request or a new connection. Only such an answer
     * shows that the silence of another server is not due to this VM's own links.
     */
    public void onServerAnswer(long answeredMillis) {
        serverLinks.recordAnswer(answeredMillis);
    }

    /**
     * Sets whether this VM reaches no server, or far fewer than another entry VM. Such a VM does not claim leadership, and
     * as leader does not take the silence of servers for their end.
     */
    public void setLinksImpaired(boolean impaired) {
        serverLinks.setImpaired(impaired);
    }

    /** Returns former leaders that may not know of the new term yet; empty unless this process leads. */
    public Set<Leader> formerLeadersToNotify() {
        return leading ? Set.copyOf(formerLeaders) : Set.of();
    }

    /**
     * Records that a former leader no longer leads, or that another process runs in its place.
     *
     * @param beforeTerm term up to which it leads no more; an answer to the announcement of an earlier term is ignored,
     *     since the process may have led again after it
     */
    public void onFormerLeaderStopped(VmStart former, long beforeTerm, long nowMillis) {
        boolean removed = beforeTerm >= table.term()
                && formerLeaders.removeIf(leader -> leader.process().equals(former));
        if (removed && formerLeaders.isEmpty() && !lostLeadersMayAct) {
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
    }

    private void onFormerLeadersStopped(RangeEventListener.StopEvidence evidence, long nowMillis) {
        holds.onFormerLeadersStopped(nowMillis);
        listener.onFormerLeadersStopped(evidence, nowMillis);
    }

    /** Returns the time since the newest request that the store answered was sent. */
    public long storeSilenceMillis(long nowMillis) {
        return eras.silenceMillis(nowMillis);
    }

    /**
     * Records that the store answered.
     *
     * @param era era that the answer stated; an earlier one than the newest known is ignored
     * @param askedAtMillis when the request was sent
     */
    public void onStoreAnswer(long era, long askedAtMillis) {
        eras.recordAnswer(era, askedAtMillis);
    }

    /**
     * Applies a recorded table unless a newer one is known.
     *
     * @param recorded the table
     * @param position position after the table's record; one of an earlier era is ignored
     * @return whether the table was new
     */
    public boolean onTable(RangeTable recorded, LogPosition position, long nowMillis) {
        onEra(position.era(), nowMillis);
        boolean isKnown = position.end() == logEnd && recorded.equals(table);
        if (position.era() < eras.era() || position.end() < logEnd || isKnown) {
            return false;
        }
        advanceLog(position.end());
        if (isOlderThanTable(recorded)) {
            tableIsHidden = table.era() == eras.era();
            return false;
        }
        applyTable(recorded, nowMillis);
        return true;
    }

    private void onEra(long era, long nowMillis) {
        if (eras.advance(era, table.era(), steadyMillis(nowMillis))) {
            logEnd = -1;
            appends.onNewEra();
        }
    }

    /** Returns whether the store lost the known table, or a record with an older table was delayed beyond the loss. */
    private boolean isOlderThanTable(RangeTable recorded) {
        boolean ofLostHistory = recorded.era() != eras.era();
        return recorded.era() < table.era()
                || (ofLostHistory && recorded.era() == table.era() && recorded.term() <= table.term());
    }

    private void advanceLog(long end) {
        logEnd = end;
        appends.onLogEnd(end);
    }

    /**
     * Records the result of a {@link CoordinatorAction.RecordTable}.
     *
     * @param result result of the append; if it is unknown, the append is repeated until the log shows what happened
     */
    public void onRecorded(CoordinatorAction.RecordTable record, AppendResult result, long nowMillis) {
        boolean ofThisEra = record.table().era() == eras.era();
        appends.onResult(ofThisEra ? result : AppendResult.unknown(), nowMillis);
        if (result.outcome() != AppendResult.Outcome.RECORDED || !ofThisEra) {
            return;
        }
        onStoreAnswer(eras.era(), appends.askedMillis());
        // The log may have grown further by the time of the answer; those records are still to be read.
        long endOfRecord = Math.min(result.newEnd().getAsLong(), record.expectedEnd() + 1);
        if (endOfRecord > logEnd) {
            advanceLog(endOfRecord);
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
        tableIsHidden = false;
        newestTerm = Math.max(newestTerm, recorded.term());
        if (!recordedAsLeader || recorded.term() < newestTerm || recorded.era() != eras.era()) {
            stopLeading();
            return;
        }
        appends.forgetFormerEras();
        if (!leading || newTerm) {
            leading = true;
            leadingSinceSteadyMillis = steadyMillis(nowMillis);
            formerLeaders.clear();
            formerLeaders.addAll(recorded.formerLeaders());
            formerLeaders.removeIf(
                    former -> former.process().vm().equals(self.process().vm()));
            lostLeadersMayAct = recorded.lossPending();
            long formerLeadersStoppedByMillis = nowMillis + times.maxStoreSilenceMillis();
            listener.onTermStarted(table.term(), Set.copyOf(formerLeaders), formerLeadersStoppedByMillis, nowMillis);
            holds.startTerm(recorded, lostLeadersMayAct || !formerLeaders.isEmpty(), nowMillis);
        } else {
            holds.applyTable(recorded, nowMillis);
        }
    }

    /** Returns whether a grant or release awaits its answer and belongs to the present term. */
    public boolean awaitsAnswer(long call) {
        return holds.awaitsAnswer(call);
    }

    /** Records the result of a grant; ignored if the call belongs to an earlier term. */
    public void onGrantAnswer(long call, GrantOutcome outcome, long nowMillis) {
        holds.onGrantAnswer(call, outcome, nowMillis);
    }

    /**
     * Records the result of a release; ignored if the call belongs to an earlier term.
     *
     * @param handover token for the next owner, if the server returned one
     */
    public void onReleaseAnswer(long call, ReleaseOutcome outcome, Optional<String> handover, long nowMillis) {
        holds.onReleaseAnswer(call, outcome, handover, nowMillis);
    }

    /** Returns the actions to carry out now: calls to servers and, at most, one table to record. */
    public List<CoordinatorAction> step(Map<ServiceId, ServiceView> services, long nowMillis) {
        List<CoordinatorAction> actions = new ArrayList<>();
        if (!leading) {
            claimLeadership(actions, nowMillis);
            return actions;
        }
        long silenceMillis = eras.silenceMillis(table.era(), nowMillis);
        boolean inNewestEra = table.era() == eras.era();
        if (silenceMillis > times.maxStoreSilenceMillis()) {
            if (!inNewestEra) {
                stopLeading();
            }
            return actions;
        }
        if ((lostLeadersMayAct || !formerLeaders.isEmpty())
                && leadingForMillis(nowMillis) >= times.maxStoreSilenceMillis()) {
            formerLeaders.clear();
            lostLeadersMayAct = false;
            onFormerLeadersStopped(RangeEventListener.StopEvidence.TIME, nowMillis);
        }
        boolean movesAllowed = silenceMillis <= times.maxStoreSilenceForMovesMillis();
        holds.step(
                services,
                movesAllowed,
                hold -> appends.mayReplaceOwner(hold.service, hold.range, hold.owner),
                actions,
                nowMillis);
        if (inNewestEra) {
            recordTableChanges(services, actions, movesAllowed, nowMillis);
        } else {
            recordInNewestEra(actions, silenceMillis, nowMillis);
        }
        return actions;
    }

    private long leadingForMillis(long nowMillis) {
        return steadyMillis(nowMillis) - leadingSinceSteadyMillis;
    }

    /** Returns a time by the clock without its advances. */
    private long steadyMillis(long nowMillis) {
        return nowMillis - clockLeadMillis.getAsLong();
    }

    private void claimLeadership(List<CoordinatorAction> actions, long nowMillis) {
        boolean mayLead = leaderCandidate && !serverLinks.isImpaired();
        boolean anotherLeads = leaderPresence.preventsTakeover(serverLinks.hasRecentAnswer(nowMillis), nowMillis)
                || eras.leaderHasPrecedence(table, logEnd, steadyMillis(nowMillis));
        if (mayLead && !anotherLeads && logEnd >= 0 && appends.mayCall(nowMillis)) {
            RangeTable claim = appends.tableToRepeat().orElseGet(() -> eras.claim(table, newestTerm, logEnd, self));
            actions.add(appends.start(claim, logEnd, nowMillis));
        }
    }

    private void recordInNewestEra(List<CoordinatorAction> actions, long silenceMillis, long nowMillis) {
        if (logEnd < 0 || !appends.mayCall(nowMillis)) {
            return;
        }
        long remainingMillis = times.maxStoreSilenceMillis() - silenceMillis;
        appends.tableToRepeat()
                .or(() -> new OwnersOverLoss(eras, holds, times)
                        .certainOwners(remainingMillis, steadyMillis(nowMillis), nowMillis)
                        .map(owners ->
                                eras.claim(table, newestTerm, logEnd, self).withAllRanges(owners)))
                .ifPresent(proven -> actions.add(appends.start(proven, logEnd, nowMillis)));
    }

    private void recordTableChanges(
            Map<ServiceId, ServiceView> services,
            List<CoordinatorAction> actions,
            boolean movesAllowed,
            long nowMillis) {
        if (!appends.mayCall(nowMillis) || logEnd < 0) {
            return;
        }
        RangeTable proposal = appends.tableToRepeat().orElseGet(() -> proposeTable(services, movesAllowed, nowMillis));
        if (tableIsHidden || !proposal.equals(table)) {
            actions.add(appends.start(proposal, logEnd, nowMillis));
        }
    }

    private RangeTable proposeTable(Map<ServiceId, ServiceView> services, boolean movesAllowed, long nowMillis) {
        boolean balancesLoad = movesAllowed && balanceSchedule.isDue(storeSilenceMillis(nowMillis), nowMillis);
        RangeTable proposal = proposeRanges(services, balancesLoad, nowMillis);
        balanceSchedule.onPlanned(balancesLoad, !proposal.equals(table), nowMillis);
        return proposal;
    }

    private RangeTable proposeRanges(Map<ServiceId, ServiceView> services, boolean balancesLoad, long nowMillis) {
        RangeTable base = formerLeaders.isEmpty() && !lostLeadersMayAct ? table.withoutFormerLeaders() : table;
        if (table.lossPending() && leadingForMillis(nowMillis) < holds.endOfLostGrantsMillis()) {
            return holds.propose(base, table.fullyOwned(services), balancesLoad, nowMillis);
        }
        return holds.propose(base.inEra(table.era(), false), services, balancesLoad, nowMillis);
    }
}
