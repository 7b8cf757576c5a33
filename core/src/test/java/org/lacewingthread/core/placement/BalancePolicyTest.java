package org.lacewingthread.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.placement.BalancePolicy.LoadedServer;
import org.lacewingthread.core.placement.BalancePolicy.LoadedShard;
import org.lacewingthread.core.placement.BalancePolicy.Move;

class BalancePolicyTest {
    private static final int NO_LIMIT = 100;

    @ParameterizedTest
    @CsvSource({
        "MINIMISE_UNAVAILABLE, 12, 10, 10, false",
        "MINIMISE_UNAVAILABLE, 18, 10, 10, true",
        "MINIMISE_CHURN, 18, 10, 10, false",
        "MINIMISE_CHURN, 40, 10, 10, true",
        "MINIMISE_UNAVAILABLE, 10, 10, 0, true",
        "MINIMISE_UNAVAILABLE, 0, 0, 0, false"
    })
    void profileSetsTheImbalanceThreshold(PlacementProfile profile, int a, int b, int c, boolean imbalanced) {
        assertThat(new BalancePolicy(profile).isImbalanced(serversWithUnitShards(a, b, c)))
                .isEqualTo(imbalanced);
    }

    @ParameterizedTest
    @CsvSource({"MINIMISE_UNAVAILABLE", "MINIMISE_CHURN"})
    void movesStopHalfwayBetweenThresholdAndMean(PlacementProfile profile) {
        BalancePolicy policy = new BalancePolicy(profile);
        List<LoadedServer> before = serversWithUnitShards(40, 10, 10, 0);
        List<LoadedServer> after = apply(before, policy.chooseMoves(before, NO_LIMIT));

        assertThat(policy.isBeyondTarget(after)).isFalse();
        assertThat(policy.chooseMoves(after, NO_LIMIT)).isEmpty();
    }

    @Test
    void shardLargerThanTheExcessStaysAndSmallerOnesMove() {
        List<LoadedServer> servers = List.of(server("a", 30, 5, 5), server("b", 8), server("c", 8));

        List<Move> moves = new BalancePolicy(PlacementProfile.MINIMISE_UNAVAILABLE).chooseMoves(servers, NO_LIMIT);

        assertThat(moves).hasSize(2).noneMatch(m -> m.shard().equals(shard("a", 0)));
    }

    @Test
    void choosesNoMoreMovesThanTheLimit() {
        assertThat(new BalancePolicy(PlacementProfile.MINIMISE_UNAVAILABLE)
                        .chooseMoves(serversWithUnitShards(40, 0), 3))
                .hasSize(3);
    }

    @Test
    void serverOfLowWeightGetsLoadInProportion() {
        LoadedServer cold = new LoadedServer(new ServerId("cold"), 0.5, List.of());
        List<LoadedServer> before = List.of(server("a", unitLoads(20)), server("b", unitLoads(20)), cold);

        List<LoadedServer> after =
                apply(before, new BalancePolicy(PlacementProfile.MINIMISE_UNAVAILABLE).chooseMoves(before, NO_LIMIT));

        assertThat(after.get(2).load()).isBetween(6.0, 8.0);
    }

    private static List<LoadedServer> serversWithUnitShards(int... loads) {
        List<LoadedServer> result = new ArrayList<>();
        for (int load : loads) {
            result.add(server("s" + result.size(), unitLoads(load)));
        }
        return result;
    }

    private static double[] unitLoads(int count) {
        double[] ones = new double[count];
        Arrays.fill(ones, 1);
        return ones;
    }

    private static LoadedServer server(String id, double... loads) {
        List<LoadedShard> shards = new ArrayList<>();
        for (double load : loads) {
            shards.add(new LoadedShard(shard(id, shards.size()), load));
        }
        return new LoadedServer(new ServerId(id), 1, shards);
    }

    private static ShardId shard(String server, int index) {
        return new ShardId(new ApplicationId(server), index);
    }

    private static List<LoadedServer> apply(List<LoadedServer> servers, List<Move> moves) {
        List<LoadedServer> result = new ArrayList<>();
        for (LoadedServer server : servers) {
            List<LoadedShard> shards = new ArrayList<>();
            servers.stream()
                    .flatMap(s -> s.shards().stream())
                    .filter(s -> ownerAfter(servers, moves, s.shard()).equals(server.server()))
                    .forEach(shards::add);
            result.add(new LoadedServer(server.server(), server.weight(), shards));
        }
        return result;
    }

    private static ServerId ownerAfter(List<LoadedServer> servers, List<Move> moves, ShardId shard) {
        return moves.stream()
                .filter(m -> m.shard().equals(shard))
                .map(Move::to)
                .findFirst()
                .orElseGet(() -> servers.stream()
                        .filter(s -> s.shards().stream().anyMatch(w -> w.shard().equals(shard)))
                        .findFirst()
                        .orElseThrow()
                        .server());
    }
}
