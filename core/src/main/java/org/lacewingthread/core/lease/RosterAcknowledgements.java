package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.DataCentreState;
import org.lacewingthread.core.log.RosterMember;

/** Remembers which roster each member has acknowledged. */
final class RosterAcknowledgements {
    private final Map<VmStart, LogOffset> recordAcknowledgement = new HashMap<>();

    /** Takes in that a member acknowledged a roster; it refuses askers with older ones from then on. */
    void recordAcknowledgement(VmStart member, LogOffset rosterRevision) {
        recordAcknowledgement.merge(member, rosterRevision, (a, b) -> a.isAfter(b) ? a : b);
    }

    /** Returns whether a majority acknowledged the present roster. */
    boolean hasMajority(DataCentreState dataCentre) {
        List<RosterMember> members = dataCentre.members();
        long count = members.stream()
                .filter(m -> !dataCentre
                        .rosterRevision()
                        .isAfter(recordAcknowledgement.getOrDefault(m.start(), LogOffset.NONE)))
                .count();
        return 2 * count > members.size();
    }
}
