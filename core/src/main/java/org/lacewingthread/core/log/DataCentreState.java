package org.lacewingthread.core.log;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmStart;

/**
 * Roster and leadership of one data centre.
 *
 * @param rosterRevision offset of the record that set the roster
 * @param members the roster in order of leader succession
 * @param claimOffset offset of the newest accepted claim, or of a later roster reset. After a reset, the
 *     members that knew of terms begun since the claim are lost, so later terms must be based on the reset
 * @param claimant process that made that claim; null before the first claim and after a reset
 * @param recordedTerm highest term that has recorded assignments; null before the first one
 */
public record DataCentreState(
        LogOffset rosterRevision,
        List<RosterMember> members,
        LogOffset claimOffset,
        VmStart claimant,
        Term recordedTerm) {
    /** State of a data centre that no record names. */
    public static final DataCentreState EMPTY =
            new DataCentreState(LogOffset.NONE, List.of(), LogOffset.NONE, null, null);

    /** Creates the state with a copy of the roster. */
    public DataCentreState {
        members = List.copyOf(members);
    }

    /** Returns the roster member with the given process; empty if the process is not in the roster. */
    public Optional<RosterMember> member(VmStart start) {
        return members.stream().filter(m -> m.start().equals(start)).findFirst();
    }

    DataCentreState withRoster(LogOffset revision, List<RosterMember> newMembers) {
        return new DataCentreState(revision, newMembers, claimOffset, claimant, recordedTerm);
    }

    DataCentreState withClaim(LogOffset offset, VmStart newClaimant) {
        return new DataCentreState(rosterRevision, members, offset, newClaimant, recordedTerm);
    }

    DataCentreState withRecordedTerm(Term term) {
        return new DataCentreState(rosterRevision, members, claimOffset, claimant, term);
    }
}
