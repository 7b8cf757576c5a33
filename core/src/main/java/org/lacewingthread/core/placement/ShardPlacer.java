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
 * Distributes the shards of one application over the backend servers of one data centre: rendezvous hashing with
 * an upper bound on the number of shards of each server, and failover lists that distribute the shards of a lost
 * server evenly over the others.
 *
 * <pre>{@code
 * ShardPlacer placer = new ShardPlacer(candidates, totalShards);
 * ServerId owner = placer.chooseOwner(shard).orElseThrow();
 * placer.countOwned(owner);
 * List<ServerId> failover = placer.chooseFailovers(shard, owner);
 * }</pre>
 */
public final class ShardPlacer {
    /** Maximum number of servers in a failover list. */
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
     * @param server id of the server
     * @param weight share of the shards relative to the other candidates
     */
    public record Candidate(ServerId server, double weight) {
        /**
         * Checks the weight.
         *
         * @throws IllegalArgumentException if the weight is not positive
         */
        public Candidate {
            if (!(weight > 0)) {
                throw new IllegalArgumentException(
                        "weight " + weight + " of server \"" + server + "\" is not positive");
            }
        }
    }

    /**
     * Creates a placer that has placed no shard yet.
     *
     * @param candidates servers that may own shards
     * @param totalShards number of shards that will be placed in total
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

    /**
     * Returns the server that should own a shard: the one with the highest score among those below their upper bound,
     * or the least loaded one if all have reached it. Empty if there is no candidate.
     */
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

    /** Counts one shard as owned by a server; a server that is no candidate is ignored. */
    public void countOwned(ServerId server) {
        Integer position = positions.get(server);
        if (position != null) {
            ownedCounts[position]++;
        }
    }

    /** Counts an existing failover list, so that later lists of the same owner compensate for it. */
    public void countFailover(ServerId owner, List<ServerId> failover) {
        Integer from = positions.get(owner);
        Integer to = failover.isEmpty() ? null : positions.get(failover.get(0));
        if (from != null && to != null) {
            firstFailoverCounts[from][to]++;
        }
    }

    /** Chooses the failover list of a shard, and counts it. */
    public List<ServerId> chooseFailovers(ShardId shard, ServerId owner) {
        int[] best = highestRanked(keyOf(shard), positions.getOrDefault(owner, -1));
        preferLeastUsedFirst(best, positions.get(owner));
        List<ServerId> list =
                Arrays.stream(best).mapToObj(i -> candidates.get(i).server()).toList();
        countFailover(owner, list);
        return list;
    }

    /** Returns the positions of the servers with the highest scores, in descending order, leaving out one position. */
    private int[] highestRanked(long key, int excluded) {
        int[] best = new int[FAILOVER_SERVERS];
        double[] scores = new double[FAILOVER_SERVERS];
        int count = 0;
        for (int i = 0; i < ownedCounts.length; i++) {
            if (i == excluded) {
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

    /** Moves the server that is first on the fewest failover lists of the owner to the front. */
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
