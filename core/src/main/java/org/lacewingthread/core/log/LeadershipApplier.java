package org.lacewingthread.core.log;

import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.Term;

/** Applies leader claims and checks the term of each record that a leader writes. */
final class LeadershipApplier {
    private LeadershipApplier() {}

    static ReplicaState claim(ReplicaState state, LogRecord.LeaderClaimed record, LogOffset offset)
            throws RejectedRecordException {
        DataCentreState dataCentre = state.dataCentre(record.dataCentre());
        if (!record.followsClaim().equals(dataCentre.claimOffset())) {
            throw RejectedRecordException.conflict("claim follows claim " + record.followsClaim()
                    + ", but the newest of \"" + record.dataCentre() + "\" is " + dataCentre.claimOffset());
        }
        if (dataCentre.member(record.claimant()).isEmpty()) {
            throw RejectedRecordException.conflict(
                    "claimant \"" + record.claimant() + "\" is not in the roster of \"" + record.dataCentre() + "\"");
        }
        return state.withDataCentre(record.dataCentre(), dataCentre.withClaim(offset, record.claimant()));
    }

    /**
     * Returns the state with the data centre's recorded term raised to the given term.
     *
     * <p>Only the claimant may use a term with ordinal 0. Terms with higher ordinals were begun while the
     * log was unavailable, by leaders that need not appear in the log. Terms based on an older claim are
     * rejected whatever their ordinal: the newest claimant has learned from its peers and servers which
     * assignments were made under them, and records these assignments itself.
     *
     * @throws RejectedRecordException if a record of this term must be rejected
     */
    static ReplicaState recordTerm(ReplicaState state, DataCentreId id, Term term) throws RejectedRecordException {
        DataCentreState dataCentre = state.dataCentre(id);
        if (dataCentre.members().isEmpty()) {
            throw RejectedRecordException.conflict("data centre \"" + id + "\" has no entry VMs on record");
        }
        if (!term.claimOffset().equals(dataCentre.claimOffset())) {
            throw RejectedRecordException.conflict("term " + term + " does not build on the newest claim "
                    + dataCentre.claimOffset() + " of \"" + id + "\"");
        }
        if (term.ordinal() == 0 && !term.leader().equals(dataCentre.claimant())) {
            throw RejectedRecordException.conflict("term " + term + " belongs to claimant \"" + dataCentre.claimant()
                    + "\", not to \"" + term.leader() + "\"");
        }
        if (dataCentre.recordedTerm() != null && dataCentre.recordedTerm().isAfter(term)) {
            throw RejectedRecordException.conflict(
                    "term " + term + " is below the recorded term " + dataCentre.recordedTerm() + " of \"" + id + "\"");
        }
        boolean recorded = term.equals(dataCentre.recordedTerm());
        return recorded ? state : state.withDataCentre(id, dataCentre.withRecordedTerm(term));
    }
}
