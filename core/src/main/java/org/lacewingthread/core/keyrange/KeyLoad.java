package org.lacewingthread.core.keyrange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The distribution of load over the key space: a sliding window of sampled requests, plus a small
 * uniform load that stands for keys without samples.
 */
public final class KeyLoad {
    private static final int MAX_SAMPLES = 8_192;

    private final long windowMillis;
    private final double uniformCost;
    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(int key, double cost, long expiresAtMillis) {}

    /**
     * Creates a window without samples.
     *
     * @param windowMillis how long a sample counts
     * @param uniformCost cost that is spread evenly over the whole key space, in the unit of the samples
     */
    public KeyLoad(long windowMillis, double uniformCost) {
        this.windowMillis = windowMillis;
        this.uniformCost = uniformCost;
    }

    /**
     * Adds a sample; beyond the maximum number of samples, the oldest one is dropped.
     *
     * @param key key of the request
     * @param cost cost of the request to a server, for example in milliseconds
     */
    public void add(int key, double cost, long nowMillis) {
        samples.addLast(new Sample(key, cost, nowMillis + windowMillis));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the load at a time, after removing the samples that have expired by then. */
    public Profile profile(long nowMillis) {
        while (!samples.isEmpty() && samples.peekFirst().expiresAtMillis() <= nowMillis) {
            samples.removeFirst();
        }
        NavigableMap<Integer, Double> costByKey = new TreeMap<>();
        for (Sample sample : samples) {
            costByKey.merge(sample.key(), sample.cost(), Double::sum);
        }
        return new Profile(costByKey, uniformCost / (KeyRange.MAX_KEY + 1), samples.size());
    }

    /** An immutable load distribution over the key space. */
    public static final class Profile {
        private final NavigableMap<Integer, Double> costByKey;
        private final double uniformCostPerKey;
        private final int sampleCount;

        Profile(NavigableMap<Integer, Double> costByKey, double uniformCostPerKey, int sampleCount) {
            this.costByKey = costByKey;
            this.uniformCostPerKey = uniformCostPerKey;
            this.sampleCount = sampleCount;
        }

        /** Returns the number of samples that this profile is based on. */
        public int sampleCount() {
            return sampleCount;
        }

        /** Returns the cost of a range, sampled and uniform together. */
        public double cost(KeyRange range) {
            double sum = uniformCostPerKey * range.size();
            for (double cost : costByKey
                    .subMap(range.firstKey(), true, range.lastKey(), true)
                    .values()) {
                sum += cost;
            }
            return sum;
        }

        /**
         * Finds the key at which to split a range so that the lower part has about the given cost.
         *
         * @return first key of the upper part; at least the second key of the range, at most its last
         *     key plus one, which leaves the upper part empty
         */
        public int findSplitKey(KeyRange range, double targetCost) {
            double sum = 0;
            int nextKey = range.firstKey();
            for (Map.Entry<Integer, Double> entry : costByKey
                    .subMap(range.firstKey(), true, range.lastKey(), true)
                    .entrySet()) {
                double uniformCost = uniformCostPerKey * (entry.getKey() - nextKey);
                if (sum + uniformCost >= targetCost) {
                    break;
                }
                double withKey = sum + uniformCost + entry.getValue() + uniformCostPerKey;
                boolean overshoots = withKey - targetCost > targetCost - (sum + uniformCost);
                if (overshoots) {
                    return clampSplitKey(range, entry.getKey());
                }
                sum = withKey;
                nextKey = entry.getKey() + 1;
            }
            int uniformKeys = uniformCostPerKey <= 0 ? 0 : (int) ((targetCost - sum) / uniformCostPerKey);
            return clampSplitKey(range, nextKey + Math.max(0, Math.min(uniformKeys, range.size())));
        }

        private static int clampSplitKey(KeyRange range, int key) {
            return Math.max(range.firstKey() + 1, Math.min(range.lastKey() + 1, key));
        }
    }
}
