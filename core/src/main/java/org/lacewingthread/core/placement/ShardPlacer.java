package org.lacewingthread.core.placement;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Spreads the shards of one application over the backend servers of one data centre: rendezvous
 * hashing under a bound on the shards of each server, and failover lists that divide a lost server's
 * shards evenly over the others.
 *
 * <pre>{@code
 * ShardPlacer spread = new ShardPlacer(candidates, shardsInTotal);
 * ServerId owner = spread.choose(shard).orElseThrow();
 * spread.add(owner);
 * List<ServerId> failover = spread.failover(shard, owner);
 * }</pre>
 */
public final class ShardPlacer {
    /** Servers in a failover list. */
    public static final int FAILOVER_SERVERS = 3;

    private final List<Candidate> candidates;
    private final long[] hashes;
    private final int[] ownedCounts;
    private final Map<ServerId, Integer> positions = new HashMap<>();
    private final int[][] firstFailoverCounts;
    private final double totalWeight;
    private final int totalShards;

    /**
     * A server that may own shards.
     *
     * @param server the server
     * @param weight its share of the work relative to others
     */
    public record Candidate(ServerId server, double weight) {
        /** Checks that the weight is positive. */
        public Candidate {
            if (!(weight > 0)) {
                throw new IllegalArgumentException(
                        "weight " + weight + " of server \"" + server + "\" is not positive");
            }
        }
    }

    /**
     * Starts with no shard placed.
     *
     * @param candidates the servers
     * @param totalShards shards that will be placed in all
     */
    public ShardPlacer(List<Candidate> candidates, int totalShards) {
        this.candidates = List.copyOf(candidates);
        this.hashes = candidates.stream()
                .mapToLong(c -> Rendezvous.hash(c.server().value()))
                .toArray();
        this.ownedCounts = new int[candidates.size()];
        this.firstFailoverCounts = new int[candidates.size()][candidates.size()];
        this.totalShards = totalShards;
        double sum = 0;
        for (Candidate candidate : candidates) {
            positions.put(candidate.server(), positions.size());
            sum += candidate.weight();
        }
        this.totalWeight = sum;
    }

    /** Returns the server that should own a shard: the best ranked one that is below its bound. */
    public Optional<ServerId> chooseOwner(ShardId shard) {
        long key = keyOf(shard);
        int best = -1;
        double bestScore = 0;
        for (int i = 0; i < ownedCounts.length; i++) {
            double score = scoreOf(key, i);
            if (ownedCounts[i] < maxShardsOf(i) && (best < 0 || score > bestScore)) {
                best = i;
                bestScore = score;
            }
        }
        return best < 0 ? leastLoaded() : Optional.of(candidates.get(best).server());
    }

    /** Counts a shard as owned by a server. */
    public void countOwned(ServerId server) {
        Integer position = positions.get(server);
        if (position != null) {
            ownedCounts[position]++;
        }
    }

    /** Counts a recorded failover list, so that later ones even it out. */
    public void countFailover(ServerId owner, List<ServerId> failover) {
        Integer from = positions.get(owner);
        Integer to = failover.isEmpty() ? null : positions.get(failover.get(0));
        if (from != null && to != null) {
            firstFailoverCounts[from][to]++;
        }
    }

    /** Returns the failover list of a shard, and counts it. */
    public List<ServerId> chooseFailovers(ShardId shard, ServerId owner) {
        int[] best = highestRanked(keyOf(shard), positions.getOrDefault(owner, -1));
        preferLeastUsedFirst(best, positions.get(owner));
        List<ServerId> list =
                Arrays.stream(best).mapToObj(i -> candidates.get(i).server()).toList();
        countFailover(owner, list);
        return list;
    }

    /** Returns the positions of the best ranked servers without one, best first. */
    private int[] highestRanked(long key, int without) {
        int[] best = new int[FAILOVER_SERVERS];
        double[] scores = new double[FAILOVER_SERVERS];
        int count = 0;
        for (int i = 0; i < ownedCounts.length; i++) {
            if (i == without) {
                continue;
            }
            double score = scoreOf(key, i);
            int place = count;
            while (place > 0 && scores[place - 1] < score) {
                place--;
            }
            if (place == FAILOVER_SERVERS) {
                continue;
            }
            count = Math.min(count + 1, FAILOVER_SERVERS);
            System.arraycopy(best, place, best, place + 1, count - 1 - place);
            System.arraycopy(scores, place, scores, place + 1, count - 1 - place);
            best[place] = i;
            scores[place] = score;
        }
        return Arrays.copyOf(best, count);
    }

    /** Puts first the server that is first on the fewest lists of the owner. */
    private void preferLeastUsedFirst(int[] ranked, Integer owner) {
        if (owner == null || ranked.length == 0) {
            return;
        }
        int least = 0;
        for (int i = 1; i < ranked.length; i++) {
            if (firstFailoverCounts[owner][ranked[i]] < firstFailoverCounts[owner][ranked[least]]) {
                least = i;
            }
        }
        int first = ranked[least];
        System.arraycopy(ranked, 0, ranked, 1, least);
        ranked[0] = first;
    }

    private Optional<ServerId> leastLoaded() {
        return candidates.stream()
                .min(Comparator.comparingDouble((Candidate c) -> ownedCounts[positions.get(c.server())] / c.weight()))
                .map(Candidate::server);
    }

    private double maxShardsOf(int position) {
        return Math.ceil(totalShards * candidates.get(position).weight() / totalWeight);
    }

    private double scoreOf(long key, int position) {
        return Rendezvous.weightedScore(
                key, hashes[position], candidates.get(position).weight());
    }

    private static long keyOf(ShardId shard) {
        return Rendezvous.score(Rendezvous.hash(shard.application().value()), shard.index());
    }
}
