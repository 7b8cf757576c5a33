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

class LeaseOwnershipCoordinatorTest {
    private static final ServerId FAILED_SERVER = new ServerId("s2");

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void freshApplicationIsAssignedEvenlyInOneRecord(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);

        assertThat(world.records).hasSize(1);
        Map<ServerId, Long> counts = world.plan.owners().values().stream()
                .collect(Collectors.groupingBy(RoutePlan.Ownership::server, Collectors.counting()));
        assertThat(counts).hasSize(5);
        assertThat(Collections.max(counts.values())).isLessThanOrEqualTo(13);
        assertThat(world.plan.owners()).allSatisfy((shard, owner) -> {
            ShardAssignment recorded = recorded(world, shard);
            assertThat(recorded.owner()).isEqualTo(owner.server());
            assertThat(recorded.token()).isEqualTo(owner.token());
            assertThat(recorded.failover()).hasSize(3).doesNotContain(owner.server());
        });
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void dispatchersAreSpreadEvenlyOverEntryVms(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);

        assertThat(world.plan.dispatchers()).hasSize(5);
        Collection<Long> counts = world.plan.dispatchers().values().stream()
                .collect(Collectors.groupingBy(vm -> vm, Collectors.counting()))
                .values();
        assertThat(counts).hasSize(3).allMatch(n -> n <= 2);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostServersShardsMoveAlongFailoverListsWithinRecoveryTarget(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        RoutePlan before = world.plan;
        Map<ShardId, ServerId> firstFailover = firstFailoverServers(world);
        world.unservedMillis.clear();
        world.failServer(FAILED_SERVER, 300);
        world.run(4_000);

        before.owners().forEach((shard, owner) -> {
            ServerId expected = owner.server().equals(FAILED_SERVER) ? firstFailover.get(shard) : owner.server();
            assertThat(world.ownerOf(shard)).isEqualTo(expected);
            assertThat(recorded(world, shard).owner()).isEqualTo(expected);
            assertThat(world.unservedMillis.get(shard))
                    .isLessThan(owner.server().equals(FAILED_SERVER) ? ControlSettings.RECOVERY_TARGET_MILLIS : 1);
        });
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void recoveredServerDoesNotGetItsShardsBack(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        world.failServer(FAILED_SERVER, 300);
        world.run(4_000);
        Map<ShardId, RoutePlan.Ownership> afterLoss = world.plan.owners();
        world.recoverServer(FAILED_SERVER);
        world.run(3_000);

        assertThat(world.plan.owners()).isEqualTo(afterLoss);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostServersShardsMoveProvisionallyWhileLogIsUnreachable(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        List<ShardId> moved = shardsOf(world, FAILED_SERVER);
        Map<ShardId, ServerId> firstFailover = firstFailoverServers(world);
        world.unservedMillis.clear();
        world.logReachable = false;
        world.failServer(FAILED_SERVER, 300);
        world.run(4_000);

        assertThat(moved).allSatisfy(s -> assertThat(world.ownerOf(s)).isEqualTo(firstFailover.get(s)));
        assertThat(world.longestUnservedMillis()).isLessThan(ControlSettings.RECOVERY_TARGET_MILLIS);
        assertThat(world.auditNotes).hasSize(moved.size());
        world.logReachable = true;
        world.run(500);
        assertThat(moved).allSatisfy(s -> assertThat(recorded(world, s).token())
                .isEqualTo(world.plan.owners().get(s).token()));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failoverListsOmitDrainingServer(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        world.log.setDraining(FAILED_SERVER, true);
        world.run(8_000);

        assertThat(world.plan.owners().keySet())
                .allSatisfy(s ->
                        assertThat(recorded(world, s).failover()).hasSize(3).doesNotContain(FAILED_SERVER));
        int records = world.records.size();
        world.run(8_000);
        assertThat(world.records).hasSize(records);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void drainingServerHandsOverEveryShardWithoutOutage(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        world.unservedMillis.clear();
        world.log.setDraining(FAILED_SERVER, true);
        world.run(5_000);

        assertThat(shardsOf(world, FAILED_SERVER)).isEmpty();
        assertThat(world.servedShards()).isEqualTo(OwnershipSimulation.SHARDS);
        assertThat(world.longestUnservedMillis()).isLessThan(600);
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostDispatcherIsReplacedAfterItsLeaseExpires(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        Map<ServerId, VmStart> before = world.plan.dispatchers();
        FakeVm lost = world.vms.get(1);
        lost.up = false;
        world.run(2_000);

        before.forEach((server, vm) -> {
            if (vm.equals(lost.start)) {
                assertThat(world.plan.dispatchers().get(server)).isNotNull().isNotEqualTo(vm);
            } else {
                assertThat(world.plan.dispatchers()).containsEntry(server, vm);
            }
        });
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void newLeaderKeepsReportedPlanWithoutOutage(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        RoutePlan before = world.plan;
        world.unservedMillis.clear();
        world.startTerm(500);
        world.run(4_000);

        assertThat(world.plan.owners()).isEqualTo(before.owners());
        assertThat(world.plan.dispatchers()).isEqualTo(before.dispatchers());
        assertThat(world.longestUnservedMillis()).isZero();
        assertThat(world.violations).isEmpty();
    }

    private static OwnershipSimulation settledSimulation(boolean checksTokens) {
        OwnershipSimulation world = OwnershipSimulation.withoutFaults(checksTokens);
        world.run(2_000);
        assertThat(world.servedShards()).isEqualTo(OwnershipSimulation.SHARDS);
        return world;
    }

    private static List<ShardId> shardsOf(OwnershipSimulation world, ServerId server) {
        return world.plan.owners().entrySet().stream()
                .filter(e -> e.getValue().server().equals(server))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private static Map<ShardId, ServerId> firstFailoverServers(OwnershipSimulation world) {
        Map<ShardId, ServerId> result = new HashMap<>();
        world.plan
                .owners()
                .keySet()
                .forEach(s -> result.put(s, recorded(world, s).failover().get(0)));
        return result;
    }

    private static ShardAssignment recorded(OwnershipSimulation world, ShardId shard) {
        return world.log
                .state()
                .shardTables()
                .get(shard.application())
                .entries()
                .get(shard.index())
                .assignment();
    }
}
