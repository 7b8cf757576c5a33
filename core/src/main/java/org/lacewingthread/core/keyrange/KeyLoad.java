package org.lacewingthread.core.keyrange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Where the load lies in the key space: a sliding window of sampled requests, and a small even load
 * that stands for keys without samples.
 */
public final class KeyLoad {
    private static final int MAX_SAMPLES = 8_192;

    private final long windowMillis;
    private final double evenLoadCost;
    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(int key, double cost, long expiresAtMillis) {}

    /**
     * Creates a window without samples.
     *
     * @param windowMillis how long a sample counts
     * @param evenLoadCost cost that is spread evenly over all keys, in the unit of the samples
     */
    public KeyLoad(long windowMillis, double evenLoadCost) {
        this.windowMillis = windowMillis;
        this.evenLoadCost = evenLoadCost;
    }

    /**
     * Adds a request.
     *
     * @param key its key
     * @param cost what it costs a server, for example in milliseconds
     */
    public void add(int key, double cost, long nowMillis) {
        samples.addLast(new Sample(key, cost, nowMillis + windowMillis));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the load of all keys at a time, for planning. */
    public Profile profile(long nowMillis) {
        while (!samples.isEmpty() && samples.peekFirst().expiresAtMillis() <= nowMillis) {
            samples.removeFirst();
        }
        NavigableMap<Integer, Double> costByKey = new TreeMap<>();
        for (Sample sample : samples) {
            costByKey.merge(sample.key(), sample.cost(), Double::sum);
        }
        return new Profile(costByKey, evenLoadCost / (KeyRange.MAX_KEY + 1), samples.size());
    }

    /** The load at one moment. */
    public static final class Profile {
        private final NavigableMap<Integer, Double> costByKey;
        private final double uniformCostPerKey;
        private final int sampleCount;

        Profile(NavigableMap<Integer, Double> costByKey, double evenCostPerKey, int sampleCount) {
            this.costByKey = costByKey;
            this.uniformCostPerKey = evenCostPerKey;
            this.sampleCount = sampleCount;
        }

        /** Returns how many samples it rests on. */
        public int sampleCount() {
            return sampleCount;
        }

        /** Returns the load of a range. */
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
         * Finds where to cut a range so that the part below the cut has about the wanted load.
         *
         * @return first key of the upper part; at least the second key of the range, at most its last
         *     key plus one, which means that the whole range is wanted
         */
        public int findSplitKey(KeyRange range, double wantedCost) {
            double sum = 0;
            int nextKey = range.firstKey();
            for (Map.Entry<Integer, Double> entry : costByKey
                    .subMap(range.firstKey(), true, range.lastKey(), true)
                    .entrySet()) {
                double evenCost = uniformCostPerKey * (entry.getKey() - nextKey);
                if (sum + evenCost >= wantedCost) {
                    break;
                }
                double withKey = sum + evenCost + entry.getValue() + uniformCostPerKey;
                boolean overshoots = withKey - wantedCost > wantedCost - (sum + evenCost);
                if (overshoots) {
                    return clampSplitKey(range, entry.getKey());
                }
                sum = withKey;
                nextKey = entry.getKey() + 1;
            }
            int evenKeys = uniformCostPerKey <= 0 ? 0 : (int) ((wantedCost - sum) / uniformCostPerKey);
            return clampSplitKey(range, nextKey + Math.max(0, Math.min(evenKeys, range.size())));
        }

        private static int clampSplitKey(KeyRange range, int key) {
            return Math.max(range.firstKey() + 1, Math.min(range.lastKey() + 1, key));
        }
    }
}
