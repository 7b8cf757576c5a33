package org.lacewingthread.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmId;

/**
 * Selects the VMs that stand by to lead: only they join the leader group beside the leader, so that the number of joins
 * grows with the data centres and not with the VMs.
 *
 * <pre>{@code
 * Set<VmId> standbys = StandbySelection.select(candidates);
 * }</pre>
 */
public final class StandbySelection {
    /** Two, so that the loss of one machine leaves one that the store may select at once. */
    public static final int STANDBYS_PER_DATA_CENTRE = 2;

    /** Fewest VMs that could lead from which those that can't are no standbys; one alone may end with the leader. */
    private static final int MIN_ABLE_VMS = 2;

    /** Equal VMs are taken in the order of their names, so that the selection changes only with the VMs. */
    private static final Comparator<Candidate> PREFERRED_FIRST = Comparator.comparing(
                    Candidate::ability, LeadAbility.BEST_FIRST)
            .thenComparing(candidate -> candidate.vm().value());

    private StandbySelection() {}

    /**
     * A VM that reported to the leader of late and reaches servers.
     *
     * @param vm its name
     * @param dataCentre its data centre
     * @param ability whether it could carry the lead
     */
    public record Candidate(VmId vm, DataCentreId dataCentre, LeadAbility ability) {}

    /**
     * Returns the standbys: of each data centre the best two that can join the group, without VMs that can't lead if enough
     * others can.
     */
    public static Set<VmId> select(Collection<Candidate> candidates) {
        List<Candidate> joining = candidates.stream()
                .filter(candidate -> candidate.ability().canJoin())
                .toList();
        List<Candidate> able = joining.stream()
                .filter(candidate -> candidate.ability().couldLead())
                .toList();
        List<Candidate> ordered = new ArrayList<>(able.size() >= MIN_ABLE_VMS ? able : joining);
        ordered.sort(PREFERRED_FIRST);
        Map<DataCentreId, Integer> selectedByDataCentre = new HashMap<>();
        Set<VmId> standbys = new TreeSet<>(Comparator.comparing(VmId::value));
        for (Candidate candidate : ordered) {
            if (selectedByDataCentre.merge(candidate.dataCentre(), 1, Integer::sum) <= STANDBYS_PER_DATA_CENTRE) {
                standbys.add(candidate.vm());
            }
        }
        return standbys;
    }
}
