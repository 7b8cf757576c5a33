package org.lacewingthread.core.lease;

import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.control.PeerMessage.Heartbeat;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;

/** Gives this VM's leader lease, to one VM at a time. */
final class LeaseGiver {
    /** The lease given last. The deadline is counted from when it was given, lengthened by the margin. */
    private record Given(VmStart holder, LogOffset rosterRevision, long sequence, long deadlineMillis) {}

    private final VmStart self;
    private final LeaseLengths lengths;
    private final Set<ProtocolRule> rules;
    private Given given;
    private Term floor;
    private Term highestTerm;

    LeaseGiver(VmStart self, LeaseLengths lengths, Set<ProtocolRule> rules) {
        this.self = self;
        this.lengths = lengths;
        this.rules = rules;
    }

    /** Gives or renews the lease if nothing forbids it; returns whether the asker now has it. */
    boolean ask(VmStart asker, Heartbeat ask, DataCentreState dataCentre, long nowMillis) {
        if (!mayGive(asker, ask, dataCentre, nowMillis)) {
            return false;
        }
        long deadlineMillis = lengths.leaderGivenUntil(nowMillis);
        given = new Given(asker, ask.rosterRevision(), ask.sequence(), deadlineMillis);
        noteTerm(ask.term());
        if (!asker.equals(self)) {
            raiseFloor(ask.term());
        }
        return true;
    }

    /** Refuses terms below one that was given a lease by another VM's majority, or may have been. */
    void raiseFloor(Term term) {
        if (floor == null || term.isAfter(floor)) {
            floor = term;
        }
    }

    private boolean mayGive(VmStart asker, Heartbeat ask, DataCentreState dataCentre, long nowMillis) {
        if (dataCentre.member(self).isEmpty() || isStale(asker, ask, dataCentre)) {
            return false;
        }
        if (floor != null && floor.isAfter(ask.term())) {
            return false;
        }
        if (given == null) {
            return true;
        }
        if (given.holder.equals(asker)) {
            return ask.sequence() > given.sequence;
        }
        return !rules.contains(ProtocolRule.ONE_HOLDER) || nowMillis >= given.deadlineMillis;
    }

    private boolean isStale(VmStart asker, Heartbeat ask, DataCentreState dataCentre) {
        int byRevision = ask.rosterRevision().compareTo(dataCentre.rosterRevision());
        if (byRevision == 0) {
            return dataCentre.member(asker).isEmpty();
        }
        return byRevision < 0 && rules.contains(ProtocolRule.STALE_ROSTER_REFUSED);
    }

    /** Takes in a term that exists, so that the next one asked for is higher. */
    void noteTerm(Term term) {
        if (highestTerm == null || term.isAfter(highestTerm)) {
            highestTerm = term;
        }
    }

    /** Returns the highest term known, if any. */
    Optional<Term> highestTerm() {
        return Optional.ofNullable(highestTerm);
    }

    /** Returns whether no running lease was asked for under a roster older than a revision. */
    boolean acknowledges(LogOffset rosterRevision, long nowMillis) {
        if (!rules.contains(ProtocolRule.ACKNOWLEDGEMENT_HELD_BACK)) {
            return true;
        }
        return given == null || nowMillis >= given.deadlineMillis || !rosterRevision.isAfter(given.rosterRevision);
    }

    /** Takes back the lease that this VM gave to itself; the caller must stop relying on it at once. */
    void withdrawOwn() {
        if (given != null && given.holder.equals(self)) {
            given = null;
        }
    }

    /** Returns when the running lease given to another VM ends, if there is one. */
    Optional<Long> givenToOtherUntil(long nowMillis) {
        if (given == null || given.holder.equals(self) || nowMillis >= given.deadlineMillis) {
            return Optional.empty();
        }
        return Optional.of(given.deadlineMillis);
    }

    /** Returns the VM that holds this VM's running lease, if any. */
    Optional<VmStart> holder(long nowMillis) {
        return given == null || nowMillis >= given.deadlineMillis ? Optional.empty() : Optional.of(given.holder);
    }
}
