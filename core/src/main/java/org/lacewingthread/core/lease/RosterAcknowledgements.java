package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.RosterMember;

/** Tracks the newest roster revision that each member has acknowledged. */
final class RosterAcknowledgements {
    private final Map<VmStart, LogOffset> acknowledgedRevisions = new HashMap<>();

    /** Records that a member acknowledged a roster. It refuses lease requests under older rosters from then on. */
    void recordAcknowledgement(VmStart member, LogOffset rosterRevision) {
        acknowledgedRevisions.merge(member, rosterRevision, (a, b) -> a.isAfter(b) ? a : b);
    }

    /** Returns whether a majority of the members acknowledged the current roster. */
    boolean hasMajority(DataCentreState dataCentre) {
        List<RosterMember> members = dataCentre.members();
        long count = members.stream()
                .filter(m -> !dataCentre
                        .rosterRevision()
                        .isAfter(acknowledgedRevisions.getOrDefault(m.start(), LogOffset.NONE)))
                .count();
        return 2 * count > members.size();
    }
}
