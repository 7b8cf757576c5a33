package org.lacewingthread.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Chooses shards to move for load balance alone. No shard moves while the load of every server is within the
 * profile's threshold ratio of the mean load. Once one is beyond, shards move until every load is within half of that
 * deviation; the hysteresis prevents small changes of load from moving shards back and forth.
 *
 * <pre>{@code
 * BalancePolicy policy = new BalancePolicy(PlacementProfile.MINIMISE_CHURN);
 * if (policy.isImbalanced(servers)) {
 *     List<BalancePolicy.Move> moves = policy.chooseMoves(servers, 2);
 * }
 * }</pre>
 */
public final class BalancePolicy {
    private final double thresholdRatio;
    private final double targetRatio;

    /**
     * A shard and its load.
     *
     * @param shard id of the shard
     * @param load load of the shard, in a unit that is common to all shards
     */
    public record LoadedShard(ShardId shard, double load) {}

    /**
     * A server and the shards that it owns.
     *
     * @param server id of the server
     * @param weight capacity relative to the other servers
     * @param shards shards that the server owns
     */
    public record LoadedServer(ServerId server, double weight, List<LoadedShard> shards) {
        /**
         * Checks the weight and copies the list.
         *
         * @throws IllegalArgumentException if the weight is not positive
         */
        public LoadedServer {
            if (!(weight > 0)) {
                throw new IllegalArgumentException(
                        "weight " + weight + " of server \"" + server + "\" is not positive");
            }
            shards = List.copyOf(shards);
        }

        double load() {
            return shards.stream().mapToDouble(LoadedShard::load).sum();
        }
    }

    /**
     * A shard's change of owner.
     *
     * @param shard shard to move
     * @param from current owner
     * @param to next owner
     */
    public record Move(ShardId shard, ServerId from, ServerId to) {}

    /** Shards and load of a server under the moves chosen so far. */
    private static final class ServerAllocation {
        private final LoadedServer server;
        private final List<LoadedShard> remainingShards;
        private double load;

        ServerAllocation(LoadedServer server) {
            this.server = server;
            this.remainingShards = new ArrayList<>(server.shards());
            this.load = server.load();
        }

        double relativeLoad(double mean) {
            return load / (server.weight() * mean);
        }

        double excessLoad(double mean) {
            return load - server.weight() * mean;
        }
    }

    /** Creates the policy of a placement profile. */
    public BalancePolicy(PlacementProfile profile) {
        this.thresholdRatio = profile.imbalanceThresholdRatio();
        this.targetRatio = 1 + (thresholdRatio - 1) / 2;
    }

    /** Returns whether the load of some server is beyond the threshold ratio, above or below the mean. */
    public boolean isImbalanced(List<LoadedServer> servers) {
        return hasServerBeyond(servers, thresholdRatio);
    }

    /** Returns whether some load is still beyond the ratio at which moves end, above or below the mean. */
    public boolean isBeyondTarget(List<LoadedServer> servers) {
        return hasServerBeyond(servers, targetRatio);
    }

    private static boolean hasServerBeyond(List<LoadedServer> servers, double ratio) {
        double mean = meanLoad(servers);
        return mean > 0
                && servers.stream()
                        .mapToDouble(s -> s.load() / (s.weight() * mean))
                        .anyMatch(r -> r > ratio || r < 1 / ratio);
    }

    /** Returns the ratio of the busiest server's load to the mean, both relative to weight; 1 if there is no load. */
    public static double imbalanceRatio(List<LoadedServer> servers) {
        double mean = meanLoad(servers);
        return mean == 0
                ? 1
                : servers.stream()
                        .mapToDouble(s -> s.load() / (s.weight() * mean))
                        .max()
                        .orElse(1);
    }

    private static double meanLoad(List<LoadedServer> servers) {
        double weight = servers.stream().mapToDouble(LoadedServer::weight).sum();
        return weight == 0
                ? 0
                : servers.stream().mapToDouble(LoadedServer::load).sum() / weight;
    }

    /**
     * Chooses moves that bring the load of the servers closer to the mean.
     *
     * @param servers all servers with their shards
     * @param limit maximum number of moves
     */
    public List<Move> chooseMoves(List<LoadedServer> servers, int limit) {
        double mean = meanLoad(servers);
        List<ServerAllocation> allocations =
                servers.stream().map(ServerAllocation::new).toList();
        List<Move> moves = new ArrayList<>();
        while (mean > 0 && moves.size() < limit) {
            Optional<Move> next = nextMove(allocations, mean);
            if (next.isEmpty()) {
                break;
            }
            moves.add(next.get());
        }
        return moves;
    }

    private Optional<Move> nextMove(List<ServerAllocation> allocations, double mean) {
        Comparator<ServerAllocation> byLoad = Comparator.comparingDouble((ServerAllocation s) -> s.relativeLoad(mean))
                .thenComparing(s -> s.server.server());
        ServerAllocation target = allocations.stream().min(byLoad).orElseThrow();
        boolean targetUnderloaded = target.relativeLoad(mean) < 1 / targetRatio;
        return allocations.stream()
                .sorted(byLoad.reversed())
                .filter(s -> s != target
                        && (s.relativeLoad(mean) > targetRatio || (targetUnderloaded && s.relativeLoad(mean) > 1)))
                .map(s -> moveLargestFittingShard(s, target, mean))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Moves the largest shard that takes neither server past the mean; returns empty if there is none. */
    private static Optional<Move> moveLargestFittingShard(ServerAllocation from, ServerAllocation to, double mean) {
        double maxLoad = Math.min(from.excessLoad(mean), -to.excessLoad(mean));
        Optional<LoadedShard> best = from.remainingShards.stream()
                .filter(s -> s.load() > 0 && s.load() <= maxLoad)
                .max(Comparator.comparingDouble(LoadedShard::load).thenComparing(LoadedShard::shard));
        best.ifPresent(shard -> {
            from.remainingShards.remove(shard);
            from.load -= shard.load();
            to.load += shard.load();
        });
        return best.map(s -> new Move(s.shard(), from.server.server(), to.server.server()));
    }
}
