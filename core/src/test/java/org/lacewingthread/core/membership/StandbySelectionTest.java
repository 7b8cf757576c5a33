package org.lacewingthread.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.membership.StandbySelection.Candidate;

class StandbySelectionTest {
    private static Candidate candidate(String vm, String dataCentre, boolean couldLead, int processors) {
        return new Candidate(new VmId(vm), new DataCentreId(dataCentre), new LeadAbility(couldLead, processors, true));
    }

    /** Guards against joins that grow with the VMs: 70 VMs of 3 data centres, each of which joined twice a second. */
    @Test
    void twoVmsOfEachDataCentreStandBy() {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            candidates.add(candidate("vm-" + i, "dc-" + i % 3, true, 1 + i / 60));
        }
        assertThat(StandbySelection.select(candidates))
                .extracting(VmId::value)
                .containsExactlyInAnyOrder("vm-60", "vm-61", "vm-62", "vm-63", "vm-64", "vm-65");
    }

    /** Guards against a lead that goes from one VM with 0.3 of a processor to the next. */
    @Test
    void vmsThatCannotLeadDoNotStandByWhereOthersCan() {
        List<Candidate> candidates = List.of(
                candidate("vm-1", "dc-1", false, 1),
                candidate("vm-2", "dc-1", true, 1),
                candidate("vm-3", "dc-2", false, 1),
                candidate("vm-4", "dc-3", true, 1));
        assertThat(StandbySelection.select(candidates)).extracting(VmId::value).containsExactly("vm-2", "vm-4");
    }

    /** Guards against standbys that never join: a VM that just gave the lead up, or that the store does not answer. */
    @Test
    void vmsThatCannotJoinDoNotStandBy() {
        Candidate gaveUp = new Candidate(new VmId("vm-1"), new DataCentreId("dc-1"), new LeadAbility(true, 8, false));
        List<Candidate> candidates =
                List.of(gaveUp, candidate("vm-2", "dc-1", true, 1), candidate("vm-3", "dc-1", true, 1));
        assertThat(StandbySelection.select(candidates)).extracting(VmId::value).containsExactly("vm-2", "vm-3");
        assertThat(StandbySelection.select(List.of(gaveUp))).isEmpty();
    }

    /** Guards against a deployment of small VMs that has no standby. */
    @Test
    void vmsThatCannotLeadStandByWhereNoOthersCan() {
        List<Candidate> candidates = List.of(candidate("vm-1", "dc-1", false, 1), candidate("vm-2", "dc-2", false, 1));
        assertThat(StandbySelection.select(candidates)).hasSize(2);
    }
}
