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
import org.lacewingthread.core.placement.BalancePolicy.Move;
import org.lacewingthread.core.placement.BalancePolicy.ServerWork;
import org.lacewingthread.core.placement.BalancePolicy.ShardWork;

class BalancePolicyTest {
    private static final int ANY = 100;

    @ParameterizedTest
    @CsvSource({
        "MINIMISE_UNAVAILABLE, 12, 10, 10, false",
        "MINIMISE_UNAVAILABLE, 18, 10, 10, true",
        "MINIMISE_CHURN, 18, 10, 10, false",
        "MINIMISE_CHURN, 40, 10, 10, true",
        "MINIMISE_UNAVAILABLE, 10, 10, 0, true",
        "MINIMISE_UNAVAILABLE, 0, 0, 0, false"
    })
    void theProfileStatesWhatCountsAsImbalance(PlacementProfile profile, int a, int b, int c, boolean imbalanced) {
        assertThat(new BalancePolicy(profile).isImbalanced(even(a, b, c))).isEqualTo(imbalanced);
    }

    @ParameterizedTest
    @CsvSource({"MINIMISE_UNAVAILABLE", "MINIMISE_CHURN"})
    void movesEndOnceTheLoadIsHalfwayBack(PlacementProfile profile) {
        BalancePolicy policy = new BalancePolicy(profile);
        List<ServerWork> before = even(40, 10, 10, 0);
        List<ServerWork> after = apply(before, policy.moves(before, ANY));

        assertThat(policy.isUnsettled(after)).isFalse();
        assertThat(policy.moves(after, ANY)).isEmpty();
    }

    @Test
    void aShardLargerThanTheExcessStaysAndOthersLeave() {
        List<ServerWork> servers = List.of(server("a", 30, 5, 5), server("b", 8), server("c", 8));

        List<Move> moves = new BalancePolicy(PlacementProfile.MINIMISE_UNAVAILABLE).moves(servers, ANY);

        assertThat(moves).hasSize(2).noneMatch(m -> m.shard().equals(shard("a", 0)));
    }

    @Test
    void noMoreMovesThanTheLimit() {
        assertThat(new BalancePolicy(PlacementProfile.MINIMISE_UNAVAILABLE).moves(even(40, 0), 3))
                .hasSize(3);
    }

    @Test
    void aServerOfLowWeightGetsItsShareOnly() {
        ServerWork cold = new ServerWork(new ServerId("cold"), 0.5, List.of());
        List<ServerWork> before = List.of(server("a", repeat(20)), server("b", repeat(20)), cold);

        List<ServerWork> after =
                apply(before, new BalancePolicy(PlacementProfile.MINIMISE_UNAVAILABLE).moves(before, ANY));

        assertThat(after.get(2).load()).isBetween(6.0, 8.0);
    }

    private static List<ServerWork> even(int... loads) {
        List<ServerWork> result = new ArrayList<>();
        for (int load : loads) {
            result.add(server("s" + result.size(), repeat(load)));
        }
        return result;
    }

    private static double[] repeat(int count) {
        double[] ones = new double[count];
        Arrays.fill(ones, 1);
        return ones;
    }

    private static ServerWork server(String id, double... loads) {
        List<ShardWork> shards = new ArrayList<>();
        for (double load : loads) {
            shards.add(new ShardWork(shard(id, shards.size()), load));
        }
        return new ServerWork(new ServerId(id), 1, shards);
    }

    private static ShardId shard(String server, int index) {
        return new ShardId(new ApplicationId(server), index);
    }

    private static List<ServerWork> apply(List<ServerWork> servers, List<Move> moves) {
        List<ServerWork> result = new ArrayList<>();
        for (ServerWork server : servers) {
            List<ShardWork> shards = new ArrayList<>();
            servers.stream()
                    .flatMap(s -> s.shards().stream())
                    .filter(s -> ownerAfter(servers, moves, s.shard()).equals(server.server()))
                    .forEach(shards::add);
            result.add(new ServerWork(server.server(), server.weight(), shards));
        }
        return result;
    }

    private static ServerId ownerAfter(List<ServerWork> servers, List<Move> moves, ShardId shard) {
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
