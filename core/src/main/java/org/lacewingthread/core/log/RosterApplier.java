package org.lacewingthread.core.log;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;

/** Applies changes and resets of a data centre's roster. */
final class RosterApplier {
    private RosterApplier() {}

    static ReplicaState change(ReplicaState state, LogRecord.RosterChanged record, LogOffset offset)
            throws RejectedRecordException {
        requireBaseRevision(state, record.dataCentre(), record.baseRevision());
        requireValidMembers(state, record.dataCentre(), record.members());
        requireOneMemberDifference(state.roster(record.dataCentre()), record.members());
        return withRoster(state, record.dataCentre(), record.members(), offset);
    }

    static ReplicaState reset(ReplicaState state, LogRecord.RosterReset record, LogOffset offset)
            throws RejectedRecordException {
        if (record.reason().isBlank()) {
            throw RejectedRecordException.malformed("roster reset of \"" + record.dataCentre() + "\" states no reason");
        }
        requireBaseRevision(state, record.dataCentre(), record.baseRevision());
        requireValidMembers(state, record.dataCentre(), record.members());
        ReplicaState changed = withRoster(state, record.dataCentre(), record.members(), offset);
        DataCentreState dataCentre = changed.dataCentre(record.dataCentre());
        return changed.withDataCentre(record.dataCentre(), dataCentre.withClaim(offset, null));
    }

    private static void requireBaseRevision(ReplicaState state, DataCentreId id, LogOffset base)
            throws RejectedRecordException {
        LogOffset revision = state.dataCentre(id).rosterRevision();
        if (!base.equals(revision)) {
            throw RejectedRecordException.conflict(
                    "roster of \"" + id + "\" is at revision " + revision + ", not at " + base);
        }
    }

    private static void requireValidMembers(ReplicaState state, DataCentreId id, List<RosterMember> members)
            throws RejectedRecordException {
        if (members.isEmpty()) {
            throw RejectedRecordException.malformed("roster of \"" + id + "\" would be empty");
        }
        Set<VmStart> seen = new HashSet<>();
        for (RosterMember member : members) {
            if (!seen.add(member.start())) {
                throw RejectedRecordException.malformed(
                        "roster of \"" + id + "\" names \"" + member.start() + "\" twice");
            }
        }
        for (var other : state.dataCentres().entrySet()) {
            boolean elsewhere = !other.getKey().equals(id)
                    && other.getValue().members().stream().anyMatch(m -> seen.contains(m.start()));
            if (elsewhere) {
                throw RejectedRecordException.conflict(
                        "roster of \"" + id + "\" names an entry VM that is in the roster of another data centre");
            }
        }
    }

    /** Requires one added or removed member. The first roster of a data centre therefore has one member. */
    private static void requireOneMemberDifference(List<RosterMember> old, List<RosterMember> changed)
            throws RejectedRecordException {
        List<RosterMember> longer = old.size() > changed.size() ? old : changed;
        List<RosterMember> shorter = old.size() > changed.size() ? changed : old;
        List<RosterMember> common = new ArrayList<>(longer);
        common.removeIf(member -> !shorter.contains(member));
        if (longer.size() != shorter.size() + 1 || !common.equals(shorter)) {
            throw RejectedRecordException.malformed(
                    "roster must differ by one added or removed member and keep the order of the others");
        }
    }

    private static ReplicaState withRoster(
            ReplicaState state, DataCentreId id, List<RosterMember> members, LogOffset offset) {
        DataCentreState old = state.dataCentre(id);
        Set<VmId> draining = new HashSet<>(state.drainingVms());
        members.stream()
                .filter(member -> old.member(member.start()).isEmpty())
                .forEach(member -> draining.remove(member.start().vm()));
        return state.withDraining(state.drainingServers(), draining)
                .withDataCentre(id, old.withRoster(offset, members));
    }
}
