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

/** Tests moves for balance, split keys, draining data centres and changes of the roster. */
class PlacementMovesTest {
    private static final DataCentreId OTHER_DATA_CENTRE = new DataCentreId("calca");
    private static final ServerId BUSY_SERVER = new ServerId("s0");
    private static final long MINUTE_MILLIS = 60_000;

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void coldServerGetsLimitedShareUntilWarm(boolean checksTokens) {
        OwnershipSimulation simulation = OwnershipSimulation.withoutFaults(checksTokens);
        simulation.conditions.put(BUSY_SERVER, ServerCondition.COLD);
        simulation.run(2_000);
        int whileCold = shardsOf(simulation, BUSY_SERVER).size();
        simulation.conditions.put(BUSY_SERVER, ServerCondition.REACHABLE);
        simulation.run(2 * MINUTE_MILLIS);

        assertThat(whileCold).isBetween(1, 4);
        assertThat(shardsOf(simulation, BUSY_SERVER).size()).isBetween(10, 14);
        assertThat(simulation.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void hotKeyOfOverloadedServerIsSplitAndMergedBackWhenCold(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        List<ShardId> shards = shardsOf(simulation, BUSY_SERVER);
        ShardId hot = shards.get(0);
        long hash = 64L * 1_000 + hot.index();
        setEvenLoad(simulation);
        simulation.loads.put(
                BUSY_SERVER, new ServerLoad(BUSY_SERVER, 400, List.of(new ServerLoad.ShardLoad(hot, 320, hash, 0.9))));
        simulation.run(20_000);

        assertThat(simulation.log.table(OwnershipSimulation.LEDGER).splitKeys()).containsKey(hash);
        ShardId split = new ShardId(OwnershipSimulation.LEDGER, OwnershipSimulation.SHARDS);
        assertThat(simulation.ownerOf(split)).isNotNull();
        setEvenLoad(simulation);
        simulation.run(3 * MINUTE_MILLIS);
        assertThat(simulation.log.table(OwnershipSimulation.LEDGER).splitKeys()).isEmpty();
        assertThat(simulation.ownerOf(split)).isNull();
        assertThat(simulation.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void splitKeyMovesApartFromItsBaseShardWithoutTwoOwners(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        ShardId base = shardsOf(simulation, BUSY_SERVER).get(0);
        simulation.log.append(keySplitRecord(simulation, base), simulation.nowMillis);
        simulation.run(500);
        simulation.log.setDraining(BUSY_SERVER, true);
        simulation.unservedMillis.clear();
        simulation.run(6_000);

        ShardId split = new ShardId(OwnershipSimulation.LEDGER, OwnershipSimulation.SHARDS);
        assertThat(simulation.ownerOf(split)).isNotNull().isNotEqualTo(BUSY_SERVER);
        assertThat(simulation.ownerOf(base)).isNotNull().isNotEqualTo(BUSY_SERVER);
        assertThat(simulation.longestUnservedMillis()).isLessThan(1_000);
        assertThat(simulation.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rebalancingSplitKeyPausesItsBaseShardFirst(boolean allRules) {
        Set<SafetyRule> rules = allRules
                ? EnumSet.allOf(SafetyRule.class)
                : EnumSet.complementOf(EnumSet.of(SafetyRule.SEPARATE_SPLIT_KEYS));
        OwnershipSimulation simulation = new OwnershipSimulation(7, 5, new boolean[] {true, false}, 3, rules);
        simulation.run(2_000);
        simulation.log.append(
                keySplitRecord(simulation, shardsOf(simulation, BUSY_SERVER).get(0)), simulation.nowMillis);
        ShardId split = new ShardId(OwnershipSimulation.LEDGER, OwnershipSimulation.SHARDS);
        setEvenLoad(simulation);
        simulation.loads.put(
                BUSY_SERVER, new ServerLoad(BUSY_SERVER, 400, List.of(new ServerLoad.ShardLoad(split, 50, 0, 1))));
        simulation.run(30_000);

        assertThat(simulation.ownerOf(split)).isNotNull().isNotEqualTo(BUSY_SERVER);
        assertThat(simulation.violations.isEmpty()).isEqualTo(allRules);
    }

    private static LogRecord keySplitRecord(OwnershipSimulation simulation, ShardId base) {
        return new LogRecord.KeysSplit(
                OwnershipSimulation.LOCAL_DATA_CENTRE,
                simulation.plan.term(),
                OwnershipSimulation.LEDGER,
                List.of((long) OwnershipSimulation.SHARDS + base.index()));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void evenLoadMovesNoShard(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        setEvenLoad(simulation);
        var before = simulation.plan;
        simulation.run(2 * MINUTE_MILLIS);

        assertThat(simulation.plan).isEqualTo(before);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void dataCentreWithAllServersDrainingReleasesItsShards(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        RoutingConfiguration old = simulation.log.state().configuration();
        List<ServerSpec> servers = new ArrayList<>(old.servers());
        servers.add(new ServerSpec(
                new ServerId("c0"), OTHER_DATA_CENTRE, "127.0.0.1", 8080, List.of(), 2, 50, false, false));
        simulation.log.publish(new RoutingConfiguration(old.applications(), servers));
        simulation.servers.keySet().forEach(s -> simulation.log.setDraining(s, true));
        simulation.run(5_000);

        assertThat(simulation.plan.owners()).isEmpty();
        assertThat(simulation.log.table(OwnershipSimulation.LEDGER).entries())
                .allMatch(e -> OTHER_DATA_CENTRE.equals(e.adopter()));
        assertThat(simulation.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void handedOverShardIsAdoptedAfterAllLeasesExpire(boolean checksTokens) {
        OwnershipSimulation simulation = OwnershipSimulation.withoutFaults(checksTokens);
        ShardId shard = new ShardId(OwnershipSimulation.LEDGER, 5);
        simulation.log.setEntry(
                shard.application(), shard.index(), new ShardTable.Entry(OTHER_DATA_CENTRE, null, null));
        simulation.run(2_000);
        assertThat(simulation.ownerOf(shard)).isNull();
        simulation.log.setEntry(
                shard.application(),
                shard.index(),
                new ShardTable.Entry(OTHER_DATA_CENTRE, OwnershipSimulation.LOCAL_DATA_CENTRE, null));
        simulation.run(1_500);
        assertThat(simulation.ownerOf(shard)).isNull();
        simulation.run(3_000);

        assertThat(simulation.ownerOf(shard)).isNotNull();
        assertThat(simulation.log.table(shard.application()).entries().get(5).home())
                .isEqualTo(OwnershipSimulation.LOCAL_DATA_CENTRE);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leavingVmHandsOverDispatchAndJoiningVmTakesShare(boolean checksTokens) {
        OwnershipSimulation simulation = settledSimulation(checksTokens);
        VmStart leaving = simulation.vms.get(2).start;
        simulation.unservedMillis.clear();
        simulation.leaving.add(leaving);
        simulation.run(2_000);
        assertThat(simulation.plan.dispatchers()).doesNotContainValue(leaving).hasSize(5);
        assertThat(simulation.longestUnservedMillis()).isLessThan(600);
        Map<ServerId, VmStart> before = simulation.plan.dispatchers();
        simulation.leaving.clear();
        simulation.run(20_000);

        assertThat(simulation.plan.dispatchers()).containsValue(leaving).hasSize(5);
        assertThat(before.entrySet().stream()
                        .filter(e -> !e.getValue()
                                .equals(simulation.plan.dispatchers().get(e.getKey())))
                        .count())
                .isEqualTo(1);
        assertThat(simulation.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 7, 13, 20})
    void dispatchersStayStableWithoutFaults(int servers) {
        OwnershipSimulation simulation =
                new OwnershipSimulation(7, servers, new boolean[] {false}, 3, EnumSet.allOf(SafetyRule.class));
        simulation.run(2_000);
        Map<ServerId, VmStart> before = simulation.plan.dispatchers();
        simulation.run(20_000);

        assertThat(simulation.plan.dispatchers()).isEqualTo(before);
    }

    private static OwnershipSimulation settledSimulation(boolean checksTokens) {
        OwnershipSimulation simulation = OwnershipSimulation.withoutFaults(checksTokens);
        simulation.run(2_000);
        return simulation;
    }

    private static void setEvenLoad(OwnershipSimulation simulation) {
        simulation.servers.keySet().forEach(s -> simulation.loads.put(s, new ServerLoad(s, 100, List.of())));
    }

    private static List<ShardId> shardsOf(OwnershipSimulation simulation, ServerId server) {
        return simulation.plan.owners().entrySet().stream()
                .filter(e -> e.getValue().server().equals(server))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
