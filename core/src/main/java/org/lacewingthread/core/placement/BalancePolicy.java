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
    private final double restRatio;

    /**
     * A shard and its load.
     *
     * @param shard the shard
     * @param load its load, in any unit common to all
     */
    public record ShardWork(ShardId shard, double load) {}

    /**
     * A server and its shards.
     *
     * @param server the server
     * @param weight what it can carry relative to others
     * @param shards its shards
     */
    public record ServerWork(ServerId server, double weight, List<ShardWork> shards) {
        /** Checks the weight and copies the list. */
        public ServerWork {
            if (!(weight > 0)) {
                throw new IllegalArgumentException(
                        "weight " + weight + " of server \"" + server + "\" is not positive");
            }
            shards = List.copyOf(shards);
        }

        double load() {
            return shards.stream().mapToDouble(ShardWork::load).sum();
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
    private static final class Share {
        private final ServerWork work;
        private final List<ShardWork> left;
        private double load;

        Share(ServerWork work) {
            this.work = work;
            this.left = new ArrayList<>(work.shards());
            this.load = work.load();
        }

        double relative(double mean) {
            return load / (work.weight() * mean);
        }

        double excess(double mean) {
            return load - work.weight() * mean;
        }
    }

    /** Applies a profile. */
    public BalancePolicy(PlacementProfile profile) {
        this.thresholdRatio = profile.imbalanceThresholdRatio();
        this.restRatio = 1 + (thresholdRatio - 1) / 2;
    }

    /** Returns whether some server's load is beyond the threshold, above or below the mean. */
    public boolean isImbalanced(List<ServerWork> servers) {
        return isBeyond(servers, thresholdRatio);
    }

    /** Returns whether some server's load is still beyond where moves end. */
    public boolean isUnsettled(List<ServerWork> servers) {
        return isBeyond(servers, restRatio);
    }

    private static boolean isBeyond(List<ServerWork> servers, double ratio) {
        double mean = mean(servers);
        return mean > 0
                && servers.stream()
                        .mapToDouble(s -> s.load() / (s.weight() * mean))
                        .anyMatch(r -> r > ratio || r < 1 / ratio);
    }

    /** Returns the load of the busiest server over the mean, by weight; 1 if there is no load. */
    public static double imbalance(List<ServerWork> servers) {
        double mean = mean(servers);
        return mean == 0
                ? 1
                : servers.stream()
                        .mapToDouble(s -> s.load() / (s.weight() * mean))
                        .max()
                        .orElse(1);
    }

    private static double mean(List<ServerWork> servers) {
        double weight = servers.stream().mapToDouble(ServerWork::weight).sum();
        return weight == 0 ? 0 : servers.stream().mapToDouble(ServerWork::load).sum() / weight;
    }

    /** Returns the moves that bring the servers closest to the mean, at most a limited number. */
    public List<Move> moves(List<ServerWork> servers, int limit) {
        double mean = mean(servers);
        List<Share> shares = servers.stream().map(Share::new).toList();
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

    private Optional<Move> nextMove(List<Share> shares, double mean) {
        Comparator<Share> byLoad =
                Comparator.comparingDouble((Share s) -> s.relative(mean)).thenComparing(s -> s.work.server());
        Share target = shares.stream().min(byLoad).orElseThrow();
        boolean lacks = target.relative(mean) < 1 / restRatio;
        return shares.stream()
                .sorted(byLoad.reversed())
                .filter(s -> s != target && (s.relative(mean) > restRatio || (lacks && s.relative(mean) > 1)))
                .map(s -> take(s, target, mean))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Takes the largest shard that brings neither server past the mean by more than it helps. */
    private static Optional<Move> take(Share from, Share to, double mean) {
        double most = Math.min(from.excess(mean), -to.excess(mean));
        Optional<ShardWork> best = from.left.stream()
                .filter(s -> s.load() > 0 && s.load() <= most)
                .max(Comparator.comparingDouble(ShardWork::load).thenComparing(ShardWork::shard));
        best.ifPresent(shard -> {
            from.left.remove(shard);
            from.load -= shard.load();
            to.load += shard.load();
        });
        return best.map(s -> new Move(s.shard(), from.work.server(), to.work.server()));
    }
}
