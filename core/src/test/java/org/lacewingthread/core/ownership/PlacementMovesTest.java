package org.lacewingthread.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ShardTable;

class PlacementMovesTest {
    private static final DataCentreId OTHER_DATA_CENTRE = new DataCentreId("calca");
    private static final ServerId BUSY_SERVER = new ServerId("s0");
    private static final long MINUTE_MILLIS = 60_000;

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void coldServerGetsLimitedShareUntilWarm(boolean checksTokens) {
        OwnershipSimulation world = OwnershipSimulation.withoutFaults(checksTokens);
        world.conditions.put(BUSY_SERVER, ServerCondition.COLD);
        world.run(2_000);
        int whileCold = shardsOf(world, BUSY_SERVER).size();
        world.conditions.put(BUSY_SERVER, ServerCondition.REACHABLE);
        world.run(2 * MINUTE_MILLIS);

        assertThat(whileCold).isBetween(1, 4);
        assertThat(shardsOf(world, BUSY_SERVER).size()).isBetween(10, 14);
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void hotKeyOfOverloadedServerIsSplitAndMergedBackWhenCold(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        List<ShardId> shards = shardsOf(world, BUSY_SERVER);
        ShardId hot = shards.get(0);
        long hash = 64L * 1_000 + hot.index();
        setEvenLoad(world);
        world.loads.put(
                BUSY_SERVER, new ServerLoad(BUSY_SERVER, 400, List.of(new ServerLoad.ShardLoad(hot, 320, hash, 0.9))));
        world.run(20_000);

        assertThat(world.log.table(OwnershipSimulation.LEDGER).splitKeys()).containsKey(hash);
        ShardId split = new ShardId(OwnershipSimulation.LEDGER, OwnershipSimulation.SHARDS);
        assertThat(world.ownerOf(split)).isNotNull();
        setEvenLoad(world);
        world.run(3 * MINUTE_MILLIS);
        assertThat(world.log.table(OwnershipSimulation.LEDGER).splitKeys()).isEmpty();
        assertThat(world.ownerOf(split)).isNull();
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void splitKeyMovesApartFromItsBaseShardWithoutTwoOwners(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        ShardId base = shardsOf(world, BUSY_SERVER).get(0);
        world.log.append(keySplitRecord(world, base), world.nowMillis);
        world.run(500);
        world.log.setDraining(BUSY_SERVER, true);
        world.unservedMillis.clear();
        world.run(6_000);

        ShardId split = new ShardId(OwnershipSimulation.LEDGER, OwnershipSimulation.SHARDS);
        assertThat(world.ownerOf(split)).isNotNull().isNotEqualTo(BUSY_SERVER);
        assertThat(world.ownerOf(base)).isNotNull().isNotEqualTo(BUSY_SERVER);
        assertThat(world.longestUnservedMillis()).isLessThan(1_000);
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rebalancingSplitKeyPausesItsBaseShardFirst(boolean allRules) {
        Set<SafetyRule> rules = allRules
                ? EnumSet.allOf(SafetyRule.class)
                : EnumSet.complementOf(EnumSet.of(SafetyRule.SEPARATE_SPLIT_KEYS));
        OwnershipSimulation world = new OwnershipSimulation(7, 5, new boolean[] {true, false}, 3, rules);
        world.run(2_000);
        world.log.append(keySplitRecord(world, shardsOf(world, BUSY_SERVER).get(0)), world.nowMillis);
        ShardId split = new ShardId(OwnershipSimulation.LEDGER, OwnershipSimulation.SHARDS);
        setEvenLoad(world);
        world.loads.put(
                BUSY_SERVER, new ServerLoad(BUSY_SERVER, 400, List.of(new ServerLoad.ShardLoad(split, 50, 0, 1))));
        world.run(30_000);

        assertThat(world.ownerOf(split)).isNotNull().isNotEqualTo(BUSY_SERVER);
        assertThat(world.violations.isEmpty()).isEqualTo(allRules);
    }

    private static LogRecord keySplitRecord(OwnershipSimulation world, ShardId base) {
        return new LogRecord.KeysSplit(
                OwnershipSimulation.LOCAL_DATA_CENTRE,
                world.plan.term(),
                OwnershipSimulation.LEDGER,
                List.of((long) OwnershipSimulation.SHARDS + base.index()));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void evenLoadMovesNoShard(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        setEvenLoad(world);
        var before = world.plan;
        world.run(2 * MINUTE_MILLIS);

        assertThat(world.plan).isEqualTo(before);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void dataCentreWithAllServersDrainingReleasesItsShards(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        RoutingConfiguration old = world.log.state().configuration();
        List<ServerSpec> servers = new ArrayList<>(old.servers());
        servers.add(new ServerSpec(
                new ServerId("c0"), OTHER_DATA_CENTRE, "127.0.0.1", 8080, List.of(), 2, 50, false, false));
        world.log.publish(new RoutingConfiguration(old.applications(), servers));
        world.servers.keySet().forEach(s -> world.log.setDraining(s, true));
        world.run(5_000);

        assertThat(world.plan.owners()).isEmpty();
        assertThat(world.log.table(OwnershipSimulation.LEDGER).entries())
                .allMatch(e -> OTHER_DATA_CENTRE.equals(e.adopter()));
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void handedOverShardIsAdoptedAfterAllLeasesExpire(boolean checksTokens) {
        OwnershipSimulation world = OwnershipSimulation.withoutFaults(checksTokens);
        ShardId shard = new ShardId(OwnershipSimulation.LEDGER, 5);
        world.log.setEntry(shard.application(), shard.index(), new ShardTable.Entry(OTHER_DATA_CENTRE, null, null));
        world.run(2_000);
        assertThat(world.ownerOf(shard)).isNull();
        world.log.setEntry(
                shard.application(),
                shard.index(),
                new ShardTable.Entry(OTHER_DATA_CENTRE, OwnershipSimulation.LOCAL_DATA_CENTRE, null));
        world.run(1_500);
        assertThat(world.ownerOf(shard)).isNull();
        world.run(3_000);

        assertThat(world.ownerOf(shard)).isNotNull();
        assertThat(world.log.table(shard.application()).entries().get(5).home())
                .isEqualTo(OwnershipSimulation.LOCAL_DATA_CENTRE);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leavingVmHandsOverDispatchAndJoiningVmTakesShare(boolean checksTokens) {
        OwnershipSimulation world = settledSimulation(checksTokens);
        VmStart leaving = world.vms.get(2).start;
        world.unservedMillis.clear();
        world.leaving.add(leaving);
        world.run(2_000);
        assertThat(world.plan.dispatchers()).doesNotContainValue(leaving).hasSize(5);
        assertThat(world.longestUnservedMillis()).isLessThan(600);
        Map<ServerId, VmStart> before = world.plan.dispatchers();
        world.leaving.clear();
        world.run(20_000);

        assertThat(world.plan.dispatchers()).containsValue(leaving).hasSize(5);
        assertThat(before.entrySet().stream()
                        .filter(e ->
                                !e.getValue().equals(world.plan.dispatchers().get(e.getKey())))
                        .count())
                .isEqualTo(1);
        assertThat(world.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 7, 13, 20})
    void dispatchersStayStableWithoutFaults(int servers) {
        OwnershipSimulation world =
                new OwnershipSimulation(7, servers, new boolean[] {false}, 3, EnumSet.allOf(SafetyRule.class));
        world.run(2_000);
        Map<ServerId, VmStart> before = world.plan.dispatchers();
        world.run(20_000);

        assertThat(world.plan.dispatchers()).isEqualTo(before);
    }

    private static OwnershipSimulation settledSimulation(boolean checksTokens) {
        OwnershipSimulation world = OwnershipSimulation.withoutFaults(checksTokens);
        world.run(2_000);
        return world;
    }

    private static void setEvenLoad(OwnershipSimulation world) {
        world.servers.keySet().forEach(s -> world.loads.put(s, new ServerLoad(s, 100, List.of())));
    }

    private static List<ShardId> shardsOf(OwnershipSimulation world, ServerId server) {
        return world.plan.owners().entrySet().stream()
                .filter(e -> e.getValue().server().equals(server))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
