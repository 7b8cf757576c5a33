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
 * @param members the roster in order of succession
 * @param claimOffset offset of the newest accepted claim, or of a roster reset that came after it: the
 *     members that knew of terms begun since are gone, so later terms must build on the reset
 * @param claimant process that made that claim, or null before the first and after a reset
 * @param recordedTerm highest term that has recorded assignments, or null before the first
 */
public record DataCentreState(
        LogOffset rosterRevision,
        List<RosterMember> members,
        LogOffset claimOffset,
        VmStart claimant,
        Term recordedTerm) {
    /** A data centre that the log does not name. */
    public static final DataCentreState EMPTY =
            new DataCentreState(LogOffset.NONE, List.of(), LogOffset.NONE, null, null);

    /** Copies the roster. */
    public DataCentreState {
        members = List.copyOf(members);
    }

    /** Returns the roster entry of a process, if it is a member. */
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
