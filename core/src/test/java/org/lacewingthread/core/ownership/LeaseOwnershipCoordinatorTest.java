package org.lacewingthread.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.ShardAssignment;

/** Tests assignment, failover and takeover with and without servers that check tokens. */
class LeaseOwnershipCoordinatorTest {
    private static final ServerId FAILED_SERVER = new ServerId("s2");

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void freshApplicationIsAssignedEvenlyInOneRecord(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);

        assertThat(simulation.records).hasSize(1);
        Map<ServerId, Long> counts = simulation.plan.owners().values().stream()
                .collect(Collectors.groupingBy(RoutePlan.Ownership::server, Collectors.counting()));
        assertThat(counts).hasSize(5);
        assertThat(Collections.max(counts.values())).isLessThanOrEqualTo(13);
        assertThat(simulation.plan.owners()).allSatisfy((shard, owner) -> {
            ShardAssignment recorded = recorded(simulation, shard);
            assertThat(recorded.owner()).isEqualTo(owner.server());
            assertThat(recorded.token()).isEqualTo(owner.token());
            assertThat(recorded.failover()).hasSize(3).doesNotContain(owner.server());
        });
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void dispatchersAreSpreadEvenlyOverEntryVms(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);

        assertThat(simulation.plan.dispatchers()).hasSize(5);
        Collection<Long> counts = simulation.plan.dispatchers().values().stream()
                .collect(Collectors.groupingBy(vm -> vm, Collectors.counting()))
                .values();
        assertThat(counts).hasSize(3).allMatch(n -> n <= 2);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostServersShardsMoveAlongFailoverListsWithinRecoveryTarget(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        RoutePlan before = simulation.plan;
        Map<ShardId, ServerId> firstFailover = firstFailoverServers(simulation);
        simulation.unservedMillis.clear();
        simulation.failServer(FAILED_SERVER, 300);
        simulation.run(4_000);

        before.owners().forEach((shard, owner) -> {
            ServerId expected = owner.server().equals(FAILED_SERVER) ? firstFailover.get(shard) : owner.server();
            assertThat(simulation.ownerOf(shard)).isEqualTo(expected);
            assertThat(recorded(simulation, shard).owner()).isEqualTo(expected);
            assertThat(simulation.unservedMillis.get(shard))
                    .isLessThan(owner.server().equals(FAILED_SERVER) ? ControlSettings.RECOVERY_TARGET_MILLIS : 1);
        });
        assertThat(simulation.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void recoveredServerDoesNotGetItsShardsBack(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        simulation.failServer(FAILED_SERVER, 300);
        simulation.run(4_000);
        Map<ShardId, RoutePlan.Ownership> afterLoss = simulation.plan.owners();
        simulation.recoverServer(FAILED_SERVER);
        simulation.run(3_000);

        assertThat(simulation.plan.owners()).isEqualTo(afterLoss);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostServersShardsMoveProvisionallyWhileLogIsUnreachable(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        List<ShardId> moved = shardsOf(simulation, FAILED_SERVER);
        Map<ShardId, ServerId> firstFailover = firstFailoverServers(simulation);
        simulation.unservedMillis.clear();
        simulation.logReachable = false;
        simulation.failServer(FAILED_SERVER, 300);
        simulation.run(4_000);

        assertThat(moved).allSatisfy(s -> assertThat(simulation.ownerOf(s)).isEqualTo(firstFailover.get(s)));
        assertThat(simulation.longestUnservedMillis()).isLessThan(ControlSettings.RECOVERY_TARGET_MILLIS);
        assertThat(simulation.auditNotes).hasSize(moved.size());
        simulation.logReachable = true;
        simulation.run(500);
        assertThat(moved).allSatisfy(s -> assertThat(recorded(simulation, s).token())
                .isEqualTo(simulation.plan.owners().get(s).token()));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failoverListsOmitDrainingServer(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        simulation.log.setDraining(FAILED_SERVER, true);
        simulation.run(8_000);

        assertThat(simulation.plan.owners().keySet())
                .allSatisfy(s -> assertThat(recorded(simulation, s).failover())
                        .hasSize(3)
                        .doesNotContain(FAILED_SERVER));
        int records = simulation.records.size();
        simulation.run(8_000);
        assertThat(simulation.records).hasSize(records);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void drainingServerHandsOverEveryShardWithoutOutage(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        simulation.unservedMillis.clear();
        simulation.log.setDraining(FAILED_SERVER, true);
        simulation.run(5_000);

        assertThat(shardsOf(simulation, FAILED_SERVER)).isEmpty();
        assertThat(simulation.servedShards()).isEqualTo(OwnershipSimulation.SHARDS);
        assertThat(simulation.longestUnservedMillis()).isLessThan(600);
        assertThat(simulation.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostDispatcherIsReplacedAfterItsLeaseExpires(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        Map<ServerId, VmStart> before = simulation.plan.dispatchers();
        FakeVm lost = simulation.vms.get(1);
        lost.up = false;
        simulation.run(2_000);

        before.forEach((server, vm) -> {
            if (vm.equals(lost.start)) {
                assertThat(simulation.plan.dispatchers().get(server))
                        .isNotNull()
                        .isNotEqualTo(vm);
            } else {
                assertThat(simulation.plan.dispatchers()).containsEntry(server, vm);
            }
        });
        assertThat(simulation.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void newLeaderKeepsReportedPlanWithoutOutage(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        RoutePlan before = simulation.plan;
        simulation.unservedMillis.clear();
        simulation.startTerm(500);
        simulation.run(4_000);

        assertThat(simulation.plan.owners()).isEqualTo(before.owners());
        assertThat(simulation.plan.dispatchers()).isEqualTo(before.dispatchers());
        assertThat(simulation.longestUnservedMillis()).isZero();
        assertThat(simulation.violations).isEmpty();
    }

    private static OwnershipSimulation settledSimulation(boolean checksTokens) {
        OwnershipSimulation simulation = OwnershipSimulation.withoutFaults(checksTokens);
        simulation.run(2_000);
        assertThat(simulation.servedShards()).isEqualTo(OwnershipSimulation.SHARDS);
        return simulation;
    }

    private static List<ShardId> shardsOf(OwnershipSimulation simulation, ServerId server) {
        return simulation.plan.owners().entrySet().stream()
                .filter(e -> e.getValue().server().equals(server))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private static Map<ShardId, ServerId> firstFailoverServers(OwnershipSimulation simulation) {
        Map<ShardId, ServerId> result = new HashMap<>();
        simulation
                .plan
                .owners()
                .keySet()
                .forEach(s -> result.put(s, recorded(simulation, s).failover().get(0)));
        return result;
    }

    private static ShardAssignment recorded(OwnershipSimulation simulation, ShardId shard) {
        return simulation
                .log
                .state()
                .shardTables()
                .get(shard.application())
                .entries()
                .get(shard.index())
                .assignment();
    }
}
