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
 * Leader election: decides whether this VM leads its data centre.
 *
 * <p>A candidate first collects leader leases from a majority under a term with a higher ordinal. If the log is
 * available, it then appends a leadership claim, collects the leases again under the claim's term, and leads. If the
 * log is unavailable or the claim is not read back in time, it leads under the term with the higher ordinal. Only a
 * VM that holds the leases of a majority appends a claim, so a claim does not displace a leader that still reaches a
 * majority.
 */
final class LeaderElection {
    /** Election state of this VM. */
    enum Phase {
        /** Neither leads nor requests leases. */
        FOLLOWING,
        /** Requests leader leases as a candidate. */
        ASKING,
        /** Holds the leases of a majority and waits until its claim is read back from the log. */
        CLAIMING,
        /** Leads while it holds the leases of a majority. */
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

    LeaderElection(
            VmContext context, LeaderLeaseGrantor grantor, HeldLeaderLeases heldLeases, AppendQueue appendQueue) {
        this.context = context;
        this.grantor = grantor;
        this.heldLeases = heldLeases;
        this.appendQueue = appendQueue;
    }

    /** Returns the election state. */
    Phase phase() {
        return phase;
    }

    /** Returns the term in which this VM leads, or empty if it does not lead. */
    Optional<Term> leadingTerm() {
        return phase == Phase.LEADING ? Optional.of(term) : Optional.empty();
    }

    /** Returns the term under which this VM requests leases, or empty if it is a follower. */
    Optional<Term> heartbeatTerm() {
        return phase == Phase.FOLLOWING ? Optional.empty() : Optional.of(term);
    }

    /** Ends the leadership or claim if its leases have expired. Called before any other decision. */
    void checkDeadlines(long nowMillis) {
        boolean needsMajority = phase == Phase.LEADING || phase == Phase.CLAIMING;
        if (needsMajority && !heldLeases.hasMajority(context.roster(), nowMillis)) {
            stopLeading();
            candidateAtMillis = nowMillis + context.settings().electionMillis();
        }
    }

    /** Gives up the candidacy, and the lease granted to itself, in favour of a candidate with a higher term. */
    void yieldToHigherTerm(VmStart sender, Heartbeat heartbeat) {
        if (phase == Phase.ASKING
                && !sender.equals(context.self())
                && heartbeat.term().isAfter(term)) {
            grantor.revokeOwnGrant();
            heldLeases.removeOwn();
            stopLeading();
            candidateAtMillis = NEVER;
        }
    }

    /** Records whether a member granted its lease in reply to a heartbeat. */
    void recordReply(VmStart member, boolean granted, Term highestTerm, long nowMillis) {
        grantor.observeTerm(highestTerm);
        if (granted || term == null || !highestTerm.isAfter(term)) {
            refusedSinceMillis.remove(member);
        } else {
            refusedSinceMillis.putIfAbsent(member, nowMillis);
        }
    }

    /** Advances the election as far as leases and log allow. Does not wait for an unavailable or slow log. */
    void advance(boolean caughtUp, boolean logResponsive, long nowMillis) {
        if (!caughtUp || !context.isMember()) {
            stopLeading();
            candidateAtMillis = NEVER;
            return;
        }
        switch (phase) {
            case FOLLOWING -> startCandidacyIfDue(nowMillis);
            case ASKING -> advanceCandidacy(logResponsive, nowMillis);
            case CLAIMING -> advanceClaim(logResponsive, nowMillis);
            case LEADING -> advanceLeadership(logResponsive, nowMillis);
            default -> throw new IllegalStateException("phase " + phase + " is not handled");
        }
    }

    private void startCandidacyIfDue(long nowMillis) {
        Optional<Long> grantedUntil = grantor.grantedToOtherUntil(nowMillis);
        if (grantedUntil.isPresent()) {
            candidateAtMillis = grantedUntil.get() + staggerDelayMillis();
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

    /** Returns a delay by roster position, so that candidates request leases one after another. */
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

    private void advanceCandidacy(boolean logResponsive, long nowMillis) {
        if (heldLeases.hasMajority(context.roster(), nowMillis)) {
            if (logResponsive && !isTermClaimed()) {
                claim(nowMillis);
            } else {
                startLeading();
            }
            return;
        }
        boolean hasHigherTerm =
                grantor.highestTerm().filter(t -> t.isAfter(term)).isPresent();
        if (hasHigherTerm || nowMillis >= requestDeadlineMillis) {
            requestLeases(nextTerm(), nowMillis);
        }
    }

    /** Returns whether the term belongs to a claim of this VM that is the newest one in the log. */
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

    private void advanceClaim(boolean logResponsive, long nowMillis) {
        if (hasNewerOwnClaim()) {
            requestLeasesUnderClaim(nowMillis);
        } else if (!logResponsive || nowMillis >= claimDeadlineMillis) {
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

    /**
     * Responds to newer claims and persistent refusals. Records of a leader are accepted only under the newest claim,
     * so the leader answers a newer claim with another one of its own.
     */
    private void advanceLeadership(boolean logResponsive, long nowMillis) {
        if (hasNewerOwnClaim()) {
            requestLeasesUnderClaim(nowMillis);
        } else if (isPersistentlyRefused(nowMillis)) {
            requestLeases(nextTerm(), nowMillis);
        } else if (logResponsive && context.dataCentre().claimOffset().isAfter(term.claimOffset())) {
            appendClaim();
        }
    }

    /** Returns whether a member keeps refusing because a failed candidate with a higher term held its lease. */
    private boolean isPersistentlyRefused(long nowMillis) {
        long toleratedMillis = 2 * context.settings().leaderLeaseMillis();
        return refusedSinceMillis.entrySet().stream()
                .anyMatch(e -> nowMillis - e.getValue() >= toleratedMillis
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
