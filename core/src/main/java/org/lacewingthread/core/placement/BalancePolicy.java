package org.lacewingthread.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Decides which shards are worth moving for balance alone. Nothing moves while every server's load is
 * within the profile's threshold of the mean; beyond it shards move until the load is halfway back,
 * so that small changes of load do not move them to and fro.
 *
 * <pre>{@code
 * BalancePolicy policy = new BalancePolicy(PlacementProfile.MINIMISE_CHURN);
 * if (policy.isImbalanced(servers)) {
 *     List<BalancePolicy.Move> moves = policy.moves(servers, 2);
 * }
 * }</pre>
 */
public final class BalancePolicy {
    private final double thresholdRatio;
    private final double targetRatio;

    /**
     * A shard and its load.
     *
     * @param shard the shard
     * @param load its load, in any unit common to all
     */
    public record LoadedShard(ShardId shard, double load) {}

    /**
     * A server and its shards.
     *
     * @param server the server
     * @param weight what it can carry relative to others
     * @param shards its shards
     */
    public record LoadedServer(ServerId server, double weight, List<LoadedShard> shards) {
        /** Checks the weight and copies the list. */
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
     * @param shard the shard
     * @param from its owner
     * @param to its next owner
     */
    public record Move(ShardId shard, ServerId from, ServerId to) {}

    /** A server's share while moves are being chosen. */
    private static final class ServerAllocation {
        private final LoadedServer server;
        private final List<LoadedShard> remainingShards;
        private double load;

        ServerAllocation(LoadedServer work) {
            this.server = work;
            this.remainingShards = new ArrayList<>(work.shards());
            this.load = work.load();
        }

        double relativeLoad(double mean) {
            return load / (server.weight() * mean);
        }

        double excessLoad(double mean) {
            return load - server.weight() * mean;
        }
    }

    /** Applies a profile. */
    public BalancePolicy(PlacementProfile profile) {
        this.thresholdRatio = profile.imbalanceThresholdRatio();
        this.targetRatio = 1 + (thresholdRatio - 1) / 2;
    }

    /** Returns whether some server's load is beyond the threshold, above or below the mean. */
    public boolean isImbalanced(List<LoadedServer> servers) {
        return hasServerBeyond(servers, thresholdRatio);
    }

    /** Returns whether some server's load is still beyond where moves end. */
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

    /** Returns the load of the busiest server over the mean, by weight; 1 if there is no load. */
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

    /** Returns the moves that bring the servers closest to the mean, at most a limited number. */
    public List<Move> chooseMoves(List<LoadedServer> servers, int limit) {
        double mean = meanLoad(servers);
        List<ServerAllocation> shares =
                servers.stream().map(ServerAllocation::new).toList();
        List<Move> moves = new ArrayList<>();
        while (mean > 0 && moves.size() < limit) {
            Optional<Move> next = nextMove(shares, mean);
            if (next.isEmpty()) {
                break;
            }
            moves.add(next.get());
        }
        return moves;
    }

    private Optional<Move> nextMove(List<ServerAllocation> shares, double mean) {
        Comparator<ServerAllocation> byLoad = Comparator.comparingDouble((ServerAllocation s) -> s.relativeLoad(mean))
                .thenComparing(s -> s.server.server());
        ServerAllocation target = shares.stream().min(byLoad).orElseThrow();
        boolean lacks = target.relativeLoad(mean) < 1 / targetRatio;
        return shares.stream()
                .sorted(byLoad.reversed())
                .filter(s -> s != target && (s.relativeLoad(mean) > targetRatio || (lacks && s.relativeLoad(mean) > 1)))
                .map(s -> moveLargestFittingShard(s, target, mean))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Takes the largest shard that brings neither server past the mean by more than it helps. */
    private static Optional<Move> moveLargestFittingShard(ServerAllocation from, ServerAllocation to, double mean) {
        double most = Math.min(from.excessLoad(mean), -to.excessLoad(mean));
        Optional<LoadedShard> best = from.remainingShards.stream()
                .filter(s -> s.load() > 0 && s.load() <= most)
                .max(Comparator.comparingDouble(LoadedShard::load).thenComparing(LoadedShard::shard));
        best.ifPresent(shard -> {
            from.remainingShards.remove(shard);
            from.load -= shard.load();
            to.load += shard.load();
        });
        return best.map(s -> new Move(s.shard(), from.server.server(), to.server.server()));
    }
}
