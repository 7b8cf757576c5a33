package org.lacewingthread.core.lease;

import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.control.PeerMessage.Heartbeat;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;

/** Gives this VM's leader lease, to one VM at a time. */
final class LeaderLeaseGrantor {
    /** The lease given last. The deadline is counted from when it was given, lengthened by the margin. */
    private record Given(VmStart holder, LogOffset rosterRevision, long sequence, long deadlineMillis) {}

    private final VmStart self;
    private final LeaseDeadlines leaseDeadlines;
    private final Set<ProtocolRule> rules;
    private Given currentGrant;
    private Term minimumTerm;
    private Term highestTerm;

    LeaderLeaseGrantor(VmStart self, LeaseDeadlines lengths, Set<ProtocolRule> rules) {
        this.self = self;
        this.leaseDeadlines = lengths;
        this.rules = rules;
    }

    /** Gives or renews the lease if nothing forbids it; returns whether the asker now has it. */
    boolean requestLease(VmStart asker, Heartbeat ask, DataCentreState dataCentre, long nowMillis) {
        if (!mayGrant(asker, ask, dataCentre, nowMillis)) {
            return false;
        }
        long deadlineMillis = leaseDeadlines.grantorLeaderDeadline(nowMillis);
        currentGrant = new Given(asker, ask.rosterRevision(), ask.sequence(), deadlineMillis);
        observeTerm(ask.term());
        if (!asker.equals(self)) {
            raiseMinimumTerm(ask.term());
        }
        return true;
    }

    /** Refuses terms below one that was given a lease by another VM's majority, or may have been. */
    void raiseMinimumTerm(Term term) {
        if (minimumTerm == null || term.isAfter(minimumTerm)) {
            minimumTerm = term;
        }
    }

    private boolean mayGrant(VmStart asker, Heartbeat ask, DataCentreState dataCentre, long nowMillis) {
        if (dataCentre.member(self).isEmpty() || isStaleRequest(asker, ask, dataCentre)) {
            return false;
        }
        if (minimumTerm != null && minimumTerm.isAfter(ask.term())) {
            return false;
        }
        if (currentGrant == null) {
            return true;
        }
        if (currentGrant.holder.equals(asker)) {
            return ask.sequence() > currentGrant.sequence;
        }
        return !rules.contains(ProtocolRule.ONE_HOLDER) || nowMillis >= currentGrant.deadlineMillis;
    }

    private boolean isStaleRequest(VmStart asker, Heartbeat ask, DataCentreState dataCentre) {
        int byRevision = ask.rosterRevision().compareTo(dataCentre.rosterRevision());
        if (byRevision == 0) {
            return dataCentre.member(asker).isEmpty();
        }
        return byRevision < 0 && rules.contains(ProtocolRule.STALE_ROSTER_REFUSED);
    }

    /** Takes in a term that exists, so that the next one asked for is higher. */
    void observeTerm(Term term) {
        if (highestTerm == null || term.isAfter(highestTerm)) {
            highestTerm = term;
        }
    }

    /** Returns the highest term known, if any. */
    Optional<Term> highestTerm() {
        return Optional.ofNullable(highestTerm);
    }

    /** Returns whether no running lease was asked for under a roster older than a revision. */
    boolean acknowledgesRoster(LogOffset rosterRevision, long nowMillis) {
        if (!rules.contains(ProtocolRule.ACKNOWLEDGEMENT_HELD_BACK)) {
            return true;
        }
        return currentGrant == null
                || nowMillis >= currentGrant.deadlineMillis
                || !rosterRevision.isAfter(currentGrant.rosterRevision);
    }

    /** Takes back the lease that this VM gave to itself; the caller must stop relying on it at once. */
    void revokeOwnGrant() {
        if (currentGrant != null && currentGrant.holder.equals(self)) {
            currentGrant = null;
        }
    }

    /** Returns when the running lease given to another VM ends, if there is one. */
    Optional<Long> grantedToOtherUntil(long nowMillis) {
        if (currentGrant == null || currentGrant.holder.equals(self) || nowMillis >= currentGrant.deadlineMillis) {
            return Optional.empty();
        }
        return Optional.of(currentGrant.deadlineMillis);
    }

    /** Returns the VM that holds this VM's running lease, if any. */
    Optional<VmStart> holder(long nowMillis) {
        return currentGrant == null || nowMillis >= currentGrant.deadlineMillis
                ? Optional.empty()
                : Optional.of(currentGrant.holder);
    }
}
