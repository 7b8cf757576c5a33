package org.lacewingthread.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.id.ServerId;

class EntryVmStateMachineTest {
    private final SimulatedGroup group = new SimulatedGroup(1);

    @Test
    void singleVmCreatesRosterClaimsLeadershipAndDispatches() {
        SimulatedVm vm = group.start("maras-1", 1);

        assertThat(group.runUntil(3_000, () -> vm.dispatchesFor(new ServerId("server-0"))))
                .isPositive();

        assertThat(vm.view.ready()).isTrue();
        assertThat(vm.view.state().roster(SimulatedGroup.MARAS)).containsExactly(vm.identity.member());
        assertThat(vm.view.state().dataCentre(SimulatedGroup.MARAS).claimant()).isEqualTo(vm.identity.self());
        assertThat(vm.leadingTerm())
                .hasValueSatisfying(t -> assertThat(t.ordinal()).isZero());
        assertThat(group.checks.violations).isEmpty();
    }

    @Test
    void threeVmsFormOneRosterWithOneLeaderAndOneDispatcherPerServer() {
        List<SimulatedVm> vms =
                List.of(group.start("maras-1", 0.99), group.start("maras-2", 1), group.start("maras-3", 1.01));

        group.runFor(8_000);

        assertThat(vms).allSatisfy(v -> assertThat(v.view.state().roster(SimulatedGroup.MARAS))
                .hasSize(3));
        assertThat(vms).filteredOn(v -> v.leadingTerm().isPresent()).hasSize(1);
        for (int i = 0; i < 3; i++) {
            ServerId server = new ServerId("server-" + i);
            assertThat(vms).filteredOn(v -> v.dispatchesFor(server)).hasSize(1);
        }
        assertThat(group.checks.violations).isEmpty();
    }

    @Test
    void leavingVmHandsOverItsServersAndIsRemovedFromRoster() {
        List<SimulatedVm> vms =
                List.of(group.start("maras-1", 1), group.start("maras-2", 1), group.start("maras-3", 1));
        group.runFor(8_000);

        vms.get(2).deliver(new ControlEvent.LeaveRequested());
        group.runFor(4_000);

        assertThat(vms.get(2).view.leaving()).isTrue();
        assertThat(vms.get(0).view.state().roster(SimulatedGroup.MARAS))
                .containsExactlyInAnyOrder(
                        vms.get(0).identity.member(), vms.get(1).identity.member());
        for (int i = 0; i < 3; i++) {
            ServerId server = new ServerId("server-" + i);
            assertThat(vms.subList(0, 2))
                    .filteredOn(v -> v.dispatchesFor(server))
                    .hasSize(1);
        }
        assertThat(group.checks.violations).isEmpty();
    }

    @Test
    void vmWithoutLogAccessGetsRecordsFromPeers() {
        List<SimulatedVm> vms =
                List.of(group.start("maras-1", 1), group.start("maras-2", 1), group.start("maras-3", 1));
        group.runFor(8_000);
        group.vmsWithoutLogAccess.add("maras-3");

        group.servers = new SimulatedServers(group, 2);
        group.runFor(1_500);

        assertThat(vms.get(2).view.state().configuration().servers()).hasSize(2);
    }
}
