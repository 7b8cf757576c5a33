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
    private static final ServerId LOST = new ServerId("s2");

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aFreshApplicationIsAssignedEvenlyInOneRecord(boolean checksTokens) {
        OwnershipWorld world = settled(checksTokens);

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
    void eachServerHasOneDispatcherAndEachVmItsPart(boolean checksTokens) {
        OwnershipWorld world = settled(checksTokens);

        assertThat(world.plan.dispatchers()).hasSize(5);
        Collection<Long> counts = world.plan.dispatchers().values().stream()
                .collect(Collectors.groupingBy(vm -> vm, Collectors.counting()))
                .values();
        assertThat(counts).hasSize(3).allMatch(n -> n <= 2);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLostServersShardsFollowTheirFailoverListsWithinTheTarget(boolean checksTokens) {
        OwnershipWorld world = settled(checksTokens);
        RoutePlan before = world.plan;
        Map<ShardId, ServerId> firstFailover = firstFailovers(world);
        world.unservedMillis.clear();
        world.lose(LOST, 300);
        world.run(4_000);

        before.owners().forEach((shard, owner) -> {
            ServerId expected = owner.server().equals(LOST) ? firstFailover.get(shard) : owner.server();
            assertThat(world.ownerOf(shard)).isEqualTo(expected);
            assertThat(recorded(world, shard).owner()).isEqualTo(expected);
            assertThat(world.unservedMillis.get(shard))
                    .isLessThan(owner.server().equals(LOST) ? ControlSettings.RECOVERY_TARGET_MILLIS : 1);
        });
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aServerThatReturnsDoesNotGetItsShardsBack(boolean checksTokens) {
        OwnershipWorld world = settled(checksTokens);
        world.lose(LOST, 300);
        world.run(4_000);
        Map<ShardId, RoutePlan.Ownership> afterLoss = world.plan.owners();
        world.bringBack(LOST);
        world.run(3_000);

        assertThat(world.plan.owners()).isEqualTo(afterLoss);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void withTheLogOutALostServersShardsMoveProvisionallyAndAreRecordedFirst(boolean checksTokens) {
        OwnershipWorld world = settled(checksTokens);
        List<ShardId> moved = shardsOf(world, LOST);
        Map<ShardId, ServerId> firstFailover = firstFailovers(world);
        world.unservedMillis.clear();
        world.logReachable = false;
        world.lose(LOST, 300);
        world.run(4_000);

        assertThat(moved).allSatisfy(s -> assertThat(world.ownerOf(s)).isEqualTo(firstFailover.get(s)));
        assertThat(world.longestUnservedMillis()).isLessThan(ControlSettings.RECOVERY_TARGET_MILLIS);
        assertThat(world.notes).hasSize(moved.size());
        world.logReachable = true;
        world.run(500);
        assertThat(moved).allSatisfy(s -> assertThat(recorded(world, s).token())
                .isEqualTo(world.plan.owners().get(s).token()));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failoverListsNameOnlyServersThatMayOwnTheShard(boolean checksTokens) {
        OwnershipWorld world = settled(checksTokens);
        world.log.setDraining(LOST, true);
        world.run(8_000);

        assertThat(world.plan.owners().keySet())
                .allSatisfy(s ->
                        assertThat(recorded(world, s).failover()).hasSize(3).doesNotContain(LOST));
        int records = world.records.size();
        world.run(8_000);
        assertThat(world.records).hasSize(records);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDrainedServerHandsOverEverythingAndServesUntilEachShardMoves(boolean checksTokens) {
        OwnershipWorld world = settled(checksTokens);
        world.unservedMillis.clear();
        world.log.setDraining(LOST, true);
        world.run(5_000);

        assertThat(shardsOf(world, LOST)).isEmpty();
        assertThat(world.servedShards()).isEqualTo(OwnershipWorld.SHARDS);
        assertThat(world.longestUnservedMillis()).isLessThan(600);
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLostDispatcherIsReplacedAfterItsLease(boolean checksTokens) {
        OwnershipWorld world = settled(checksTokens);
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
    void aNewLeaderKeepsWhatIsHeldWithoutAGap(boolean checksTokens) {
        OwnershipWorld world = settled(checksTokens);
        RoutePlan before = world.plan;
        world.unservedMillis.clear();
        world.startTerm(500);
        world.run(4_000);

        assertThat(world.plan.owners()).isEqualTo(before.owners());
        assertThat(world.plan.dispatchers()).isEqualTo(before.dispatchers());
        assertThat(world.longestUnservedMillis()).isZero();
        assertThat(world.violations).isEmpty();
    }

    private static OwnershipWorld settled(boolean checksTokens) {
        OwnershipWorld world = OwnershipWorld.calm(checksTokens);
        world.run(2_000);
        assertThat(world.servedShards()).isEqualTo(OwnershipWorld.SHARDS);
        return world;
    }

    private static List<ShardId> shardsOf(OwnershipWorld world, ServerId server) {
        return world.plan.owners().entrySet().stream()
                .filter(e -> e.getValue().server().equals(server))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private static Map<ShardId, ServerId> firstFailovers(OwnershipWorld world) {
        Map<ShardId, ServerId> result = new HashMap<>();
        world.plan
                .owners()
                .keySet()
                .forEach(s -> result.put(s, recorded(world, s).failover().get(0)));
        return result;
    }

    private static ShardAssignment recorded(OwnershipWorld world, ShardId shard) {
        return world.log
                .state()
                .shardTables()
                .get(shard.application())
                .entries()
                .get(shard.index())
                .assignment();
    }
}
