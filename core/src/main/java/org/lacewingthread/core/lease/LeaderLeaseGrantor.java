package org.lacewingthread.core.lease;

import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.control.PeerMessage.Heartbeat;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;

/** Grants this VM's leader lease, to one holder at a time. */
final class LeaderLeaseGrantor {
    /** The newest grant. Its deadline is counted from the time of the grant and includes the clock margin. */
    private record LeaderLeaseGrant(VmStart holder, LogOffset rosterRevision, long sequence, long deadlineMillis) {}

    private final VmStart self;
    private final LeaseDeadlines leaseDeadlines;
    private final Set<ProtocolRule> rules;
    private LeaderLeaseGrant currentGrant;
    private Term minimumTerm;
    private Term highestTerm;

    LeaderLeaseGrantor(VmStart self, LeaseDeadlines leaseDeadlines, Set<ProtocolRule> rules) {
        this.self = self;
        this.leaseDeadlines = leaseDeadlines;
        this.rules = rules;
    }

    /** Grants or renews the lease if the rules allow it. Returns whether the requester holds it now. */
    boolean requestLease(VmStart requester, Heartbeat request, DataCentreState dataCentre, long nowMillis) {
        if (!mayGrant(requester, request, dataCentre, nowMillis)) {
            return false;
        }
        long deadlineMillis = leaseDeadlines.grantorLeaderDeadline(nowMillis);
        currentGrant = new LeaderLeaseGrant(requester, request.rosterRevision(), request.sequence(), deadlineMillis);
        observeTerm(request.term());
        if (!requester.equals(self)) {
            raiseMinimumTerm(request.term());
        }
        return true;
    }

    /** Refuses requests under terms below one for which a majority has granted leases or may have done so. */
    void raiseMinimumTerm(Term term) {
        if (minimumTerm == null || term.isAfter(minimumTerm)) {
            minimumTerm = term;
        }
    }

    private boolean mayGrant(VmStart requester, Heartbeat request, DataCentreState dataCentre, long nowMillis) {
        if (dataCentre.member(self).isEmpty() || isStaleRequest(requester, request, dataCentre)) {
            return false;
        }
        if (minimumTerm != null && minimumTerm.isAfter(request.term())) {
            return false;
        }
        if (currentGrant == null) {
            return true;
        }
        if (currentGrant.holder.equals(requester)) {
            return request.sequence() > currentGrant.sequence;
        }
        return !rules.contains(ProtocolRule.ONE_HOLDER) || nowMillis >= currentGrant.deadlineMillis;
    }

    private boolean isStaleRequest(VmStart requester, Heartbeat request, DataCentreState dataCentre) {
        int revisionOrder = request.rosterRevision().compareTo(dataCentre.rosterRevision());
        if (revisionOrder == 0) {
            return dataCentre.member(requester).isEmpty();
        }
        return revisionOrder < 0 && rules.contains(ProtocolRule.STALE_ROSTER_REFUSED);
    }

    /** Records a term that is in use, so that this VM requests leases only under higher ones. */
    void observeTerm(Term term) {
        if (highestTerm == null || term.isAfter(highestTerm)) {
            highestTerm = term;
        }
    }

    /** Returns the highest known term, or empty if none is known. */
    Optional<Term> highestTerm() {
        return Optional.ofNullable(highestTerm);
    }

    /** Returns whether no unexpired lease was requested under a roster older than the given revision. */
    boolean acknowledgesRoster(LogOffset rosterRevision, long nowMillis) {
        if (!rules.contains(ProtocolRule.ACKNOWLEDGEMENT_HELD_BACK)) {
            return true;
        }
        return currentGrant == null
                || nowMillis >= currentGrant.deadlineMillis
                || !rosterRevision.isAfter(currentGrant.rosterRevision);
    }

    /** Revokes the lease that this VM granted to itself. The caller must stop relying on it immediately. */
    void revokeOwnGrant() {
        if (currentGrant != null && currentGrant.holder.equals(self)) {
            currentGrant = null;
        }
    }

    /** Returns the deadline of the unexpired lease granted to another VM, or empty if there is none. */
    Optional<Long> grantedToOtherUntil(long nowMillis) {
        if (currentGrant == null || currentGrant.holder.equals(self) || nowMillis >= currentGrant.deadlineMillis) {
            return Optional.empty();
        }
        return Optional.of(currentGrant.deadlineMillis);
    }

    /** Returns the holder of this VM's unexpired lease, or empty if there is none. */
    Optional<VmStart> holder(long nowMillis) {
        return currentGrant == null || nowMillis >= currentGrant.deadlineMillis
                ? Optional.empty()
                : Optional.of(currentGrant.holder);
    }
}
