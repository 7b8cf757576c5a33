package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.control.PeerMessage.Heartbeat;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RosterMember;

/**
 * Decides whether this VM leads its data centre.
 *
 * <p>A candidate first collects the leases of a majority under a raised ordinal. With the log up it then
 * claims the leadership there, collects the leases again under the claim's term, and leads. With the log out
 * it leads under the raised ordinal. Only a VM that holds a majority's leases ever claims, so that a claim
 * does not unseat a leader that is heard.
 */
final class LeaderElection {
    /** How far this VM has come. */
    enum Phase {
        /** Leaves the leadership to another. */
        FOLLOWING,
        /** Collects leases. */
        ASKING,
        /** Holds a majority's leases and waits to read its claim back. */
        CLAIMING,
        /** Leads while it holds a majority's leases. */
        LEADING
    }

    private static final long NEVER = Long.MAX_VALUE;
    private static final long NO_CLAIM = -1;

    private final VmContext context;
    private final LeaderLeaseGrantor grantor;
    private final HeldLeaderLeases heldLeases;
    private final AppendQueue appendQueue;
    private Phase phase = Phase.FOLLOWING;
    private Term term;
    private final Map<VmStart, Long> refusedSinceMillis = new HashMap<>();
    private long candidateAtMillis = NEVER;
    private long requestDeadlineMillis;
    private long claimDeadlineMillis;
    private long claimSequence = NO_CLAIM;

    LeaderElection(VmContext context, LeaderLeaseGrantor giver, HeldLeaderLeases held, AppendQueue appends) {
        this.context = context;
        this.grantor = giver;
        this.heldLeases = held;
        this.appendQueue = appends;
    }

    Phase phase() {
        return phase;
    }

    /** Returns the term in which this VM leads, if it does. */
    Optional<Term> leadingTerm() {
        return phase == Phase.LEADING ? Optional.of(term) : Optional.empty();
    }

    /** Returns the term under which this VM asks for leases, if it does. */
    Optional<Term> heartbeatTerm() {
        return phase == Phase.FOLLOWING ? Optional.empty() : Optional.of(term);
    }

    /** Ends a leadership whose leases have run out; called before anything else is decided. */
    void checkDeadlines(long nowMillis) {
        boolean needsMajority = phase == Phase.LEADING || phase == Phase.CLAIMING;
        if (needsMajority && !heldLeases.hasMajority(context.roster(), nowMillis)) {
            stopLeading();
            candidateAtMillis = nowMillis + context.settings().electionMillis();
        }
    }

    /** Lets another candidate with a higher term have the lease that this one gave to itself in vain. */
    void yieldToHigherTerm(VmStart asker, Heartbeat ask) {
        if (phase == Phase.ASKING && !asker.equals(context.self()) && ask.term().isAfter(term)) {
            grantor.revokeOwnGrant();
            heldLeases.removeOwn();
            stopLeading();
            candidateAtMillis = NEVER;
        }
    }

    /** Takes in whether a member answered a heartbeat with its lease. */
    void recordReply(VmStart member, boolean granted, Term highestTerm, long nowMillis) {
        grantor.observeTerm(highestTerm);
        if (granted || term == null || !highestTerm.isAfter(term)) {
            refusedSinceMillis.remove(member);
        } else {
            refusedSinceMillis.putIfAbsent(member, nowMillis);
        }
    }

    /** Moves on as far as the leases and the log allow; a log that is out or slow is not waited for. */
    void advance(boolean current, boolean logPrompt, long nowMillis) {
        if (!current || !context.isMember()) {
            stopLeading();
            candidateAtMillis = NEVER;
            return;
        }
        switch (phase) {
            case FOLLOWING -> startCandidacyIfDue(nowMillis);
            case ASKING -> advanceCandidacy(logPrompt, nowMillis);
            case CLAIMING -> advanceClaim(logPrompt, nowMillis);
            case LEADING -> advanceLeadership(logPrompt, nowMillis);
            default -> throw new IllegalStateException("phase " + phase + " is not handled");
        }
    }

    private void startCandidacyIfDue(long nowMillis) {
        Optional<Long> givenUntil = grantor.grantedToOtherUntil(nowMillis);
        if (givenUntil.isPresent()) {
            candidateAtMillis = givenUntil.get() + staggerDelayMillis();
            return;
        }
        if (candidateAtMillis == NEVER) {
            candidateAtMillis = nowMillis + initialDelayMillis();
        }
        if (nowMillis >= candidateAtMillis) {
            requestLeases(nextTerm(), nowMillis);
        }
    }

    private long initialDelayMillis() {
        if (context.roster().size() == 1) {
            return 0;
        }
        return 2 * context.settings().heartbeatMillis() + staggerDelayMillis();
    }

    /** Candidates ask one after another, in the order of the roster. */
    private long staggerDelayMillis() {
        List<RosterMember> roster = context.roster();
        int position = 0;
        while (!roster.get(position).start().equals(context.self())) {
            position++;
        }
        return position * context.settings().electionMillis() / roster.size();
    }

    private Term nextTerm() {
        Term lowest = new Term(context.dataCentre().claimOffset(), 0, context.self());
        Term base = grantor.highestTerm().filter(t -> t.isAfter(lowest)).orElse(lowest);
        return new Term(base.claimOffset(), base.ordinal() + 1, context.self());
    }

    private void requestLeases(Term newTerm, long nowMillis) {
        term = newTerm;
        phase = Phase.ASKING;
        requestDeadlineMillis = nowMillis + context.settings().leaderLeaseMillis();
        heldLeases.clear();
    }

    private void advanceCandidacy(boolean logPrompt, long nowMillis) {
        if (heldLeases.hasMajority(context.roster(), nowMillis)) {
            if (logPrompt && !isTermClaimed()) {
                claim(nowMillis);
            } else {
                startLeading();
            }
            return;
        }
        boolean outbid = grantor.highestTerm().filter(t -> t.isAfter(term)).isPresent();
        if (outbid || nowMillis >= requestDeadlineMillis) {
            requestLeases(nextTerm(), nowMillis);
        }
    }

    /** Returns whether the term is that of this VM's own claim, the newest in the log. */
    private boolean isTermClaimed() {
        DataCentreState dataCentre = context.dataCentre();
        return term.ordinal() == 0
                && context.self().equals(dataCentre.claimant())
                && dataCentre.claimOffset().equals(term.claimOffset());
    }

    private void claim(long nowMillis) {
        phase = Phase.CLAIMING;
        claimDeadlineMillis = nowMillis + context.settings().electionMillis();
        appendClaim();
    }

    private void appendClaim() {
        if (appendQueue.isPending(claimSequence)) {
            return;
        }
        LogOffset newest = context.dataCentre().claimOffset();
        claimSequence =
                appendQueue.add(new LogRecord.LeaderClaimed(context.identity().dataCentre(), newest, context.self()));
    }

    private void advanceClaim(boolean logPrompt, long nowMillis) {
        if (hasNewerOwnClaim()) {
            requestLeasesUnderClaim(nowMillis);
        } else if (!logPrompt || nowMillis >= claimDeadlineMillis) {
            startLeading();
        } else {
            appendClaim();
        }
    }

    private boolean hasNewerOwnClaim() {
        DataCentreState dataCentre = context.dataCentre();
        return dataCentre.claimOffset().isAfter(term.claimOffset())
                && context.self().equals(dataCentre.claimant());
    }

    private void requestLeasesUnderClaim(long nowMillis) {
        requestLeases(new Term(context.dataCentre().claimOffset(), 0, context.self()), nowMillis);
    }

    /** A leader's records are accepted only under the newest claim, so it follows a newer one with its own. */
    private void advanceLeadership(boolean logPrompt, long nowMillis) {
        if (hasNewerOwnClaim()) {
            requestLeasesUnderClaim(nowMillis);
        } else if (isPersistentlyRefused(nowMillis)) {
            requestLeases(nextTerm(), nowMillis);
        } else if (logPrompt && context.dataCentre().claimOffset().isAfter(term.claimOffset())) {
            appendClaim();
        }
    }

    /** Returns whether a member keeps refusing because a failed candidate with a higher term had its lease. */
    private boolean isPersistentlyRefused(long nowMillis) {
        long patienceMillis = 2 * context.settings().leaderLeaseMillis();
        return refusedSinceMillis.entrySet().stream()
                .anyMatch(e -> nowMillis - e.getValue() >= patienceMillis
                        && context.rosterMember(e.getKey()).isPresent());
    }

    private void startLeading() {
        phase = Phase.LEADING;
        grantor.raiseMinimumTerm(term);
        refusedSinceMillis.clear();
        context.outbox().audit("leader-elected", context.identity().dataCentre() + " term " + term);
    }

    private void stopLeading() {
        if (phase == Phase.LEADING) {
            context.outbox().audit("leader-stepped-down", context.identity().dataCentre() + " term " + term);
        }
        appendQueue.cancel(claimSequence);
        phase = Phase.FOLLOWING;
    }
}
