package org.lacewingthread.core.keyrange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The distribution of load over the key space: a sliding window of sampled requests, plus a small
 * uniform load that stands for keys without samples. When the distribution changes abruptly, for example
 * because other keys become hot, the samples from before the change no longer count.
 *
 * <pre>{@code
 * KeyLoad load = KeyLoad.ofRequests();
 * load.add(key, 100, nowMillis);
 * KeyLoad.Profile profile = load.profile(nowMillis);
 * }</pre>
 */
public final class KeyLoad {
    /** Window over which the load of keys is measured. */
    private static final long REQUEST_WINDOW_MILLIS = 6_000;
    /** Load that is spread over keys without samples, in the unit of the samples; about that of a few requests. */
    private static final double REQUEST_UNIFORM_COST = 2_000;

    private static final int MAX_SAMPLES = 8_192;
    private static final double MILLIS_PER_SECOND = 1e3;

    private static final long COMPARISON_INTERVAL_MILLIS = 100;
    /** Age up to which samples are compared with the older ones. */
    private static final long RECENT_MILLIS = 500;
    /** Least number of recent samples, and of older ones, that are compared. */
    private static final int MIN_COMPARED_SAMPLES = 60;
    /** Parts of the key space, of equal load in the older samples, whose recent loads are compared. */
    private static final int COMPARED_PARTS = 24;
    /** Standard deviations by which the chi-square statistic exceeds its mean if the distribution has changed. */
    private static final double CHANGE_DEVIATIONS = 8;

    /** Number of cold keys that are moved along rather than kept as a range of their own, which needs renewals. */
    private static final int KEYS_WORTH_A_RANGE = 128;

    private final long windowMillis;
    private final double uniformCost;
    private final Deque<Sample> samples = new ArrayDeque<>();
    /** Profile of the present samples; null if samples were added or removed since it was made. */
    private Profile profile;

    private long comparedMillis = Long.MIN_VALUE / 2;
    /** Time of the newest abrupt change of the distribution. */
    private long changedMillis = Long.MIN_VALUE / 2;

    private record Sample(int key, double cost, long addedMillis) {}

    /** Returns an empty window for requests that cost 100 each. */
    public static KeyLoad ofRequests() {
        return new KeyLoad(REQUEST_WINDOW_MILLIS, REQUEST_UNIFORM_COST);
    }

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
        profile = null;
        samples.addLast(new Sample(key, cost, nowMillis));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the load at a time, after removing the samples that have expired by then. */
    public Profile profile(long nowMillis) {
        removeAddedUntil(nowMillis - windowMillis);
        if (nowMillis - comparedMillis >= COMPARISON_INTERVAL_MILLIS) {
            comparedMillis = nowMillis;
            if (hasChanged(nowMillis - RECENT_MILLIS)) {
                changedMillis = nowMillis - RECENT_MILLIS;
                removeAddedUntil(changedMillis);
            }
        }
        if (profile == null) {
            profile = makeProfile();
        }
        return profile;
    }

    private Profile makeProfile() {
        int[] keys = new int[samples.size()];
        double[] costs = new double[samples.size()];
        Sample[] byKey = samples.toArray(new Sample[0]);
        Arrays.sort(byKey, Comparator.comparingInt(Sample::key));
        int distinct = 0;
        for (Sample sample : byKey) {
            if (distinct == 0 || keys[distinct - 1] != sample.key()) {
                keys[distinct++] = sample.key();
            }
            costs[distinct - 1] += sample.cost();
        }
        return new Profile(
                Arrays.copyOf(keys, distinct),
                Arrays.copyOf(costs, distinct),
                uniformCost / (KeyRange.MAX_KEY + 1),
                samples.size());
    }

    /** Returns the mean rate of requests in the window, in samples for each second. */
    public double samplesPerSecond(long nowMillis) {
        long spanMillis = Math.min(windowMillis, Math.max(RECENT_MILLIS, nowMillis - changedMillis));
        return samples.size() * MILLIS_PER_SECOND / spanMillis;
    }

    private void removeAddedUntil(long limitMillis) {
        while (!samples.isEmpty() && samples.peekFirst().addedMillis() <= limitMillis) {
            samples.removeFirst();
            profile = null;
        }
    }

    /**
     * Compares the distribution of the samples before and after a time by a chi-square test over parts of the key space
     * that have equal load before.
     */
    private boolean hasChanged(long splitMillis) {
        int[] before = keysOf(splitMillis, true);
        int[] after = keysOf(splitMillis, false);
        if (before.length < MIN_COMPARED_SAMPLES || after.length < MIN_COMPARED_SAMPLES) {
            return false;
        }
        double scale = after.length / (double) before.length;
        int partSize = Math.max(1, before.length / COMPARED_PARTS);
        double statistic = 0;
        int parts = 0;
        int beforeIndex = 0;
        int afterIndex = 0;
        while (beforeIndex < before.length) {
            boolean lastPart = beforeIndex + 2 * partSize > before.length;
            int lastKey = lastPart ? KeyRange.MAX_KEY : before[beforeIndex + partSize - 1];
            int nextBefore = indexAfter(before, beforeIndex, lastKey);
            int nextAfter = indexAfter(after, afterIndex, lastKey);
            double expected = (nextBefore - beforeIndex) * scale;
            double difference = nextAfter - afterIndex - expected;
            statistic += difference * difference / expected;
            parts++;
            beforeIndex = nextBefore;
            afterIndex = nextAfter;
        }
        // The older counts vary as well, by the ratio of the numbers of samples.
        double mean = (parts - 1) * (1 + scale);
        return statistic > mean + CHANGE_DEVIATIONS * Math.sqrt(2 * mean * (1 + scale));
    }

    /** Returns the index of the first of sorted keys, from a start index on, that is above a key. */
    private static int indexAfter(int[] sortedKeys, int start, int key) {
        int index = start;
        while (index < sortedKeys.length && sortedKeys[index] <= key) {
            index++;
        }
        return index;
    }

    private int[] keysOf(long splitMillis, boolean before) {
        return samples.stream()
                .filter(sample -> sample.addedMillis() <= splitMillis == before)
                .mapToInt(Sample::key)
                .sorted()
                .toArray();
    }

    /** An immutable load distribution over the key space. */
    public static final class Profile {
        private final int[] keys;
        /** Cost of the keys before the one at the same index. */
        private final double[] costBefore;

        private final double uniformCostPerKey;
        private final int sampleCount;

        Profile(int[] keys, double[] costs, double uniformCostPerKey, int sampleCount) {
            this.keys = keys;
            this.costBefore = new double[keys.length + 1];
            for (int i = 0; i < keys.length; i++) {
                costBefore[i + 1] = costBefore[i] + costs[i];
            }
            this.uniformCostPerKey = uniformCostPerKey;
            this.sampleCount = sampleCount;
        }

        /** Returns the number of samples that this profile is based on. */
        public int sampleCount() {
            return sampleCount;
        }

        /** Returns the mean cost of a sample; 0 without samples. */
        public double meanSampleCost() {
            return sampleCount == 0 ? 0 : costBefore[keys.length] / sampleCount;
        }

        /** Returns the cost of a range, sampled and uniform together. */
        public double cost(KeyRange range) {
            return uniformCostPerKey * range.size()
                    + costBefore[indexFrom(range.lastKey() + 1)]
                    - costBefore[indexFrom(range.firstKey())];
        }

        /** Returns the index of the first sampled key that is not below the given one. */
        private int indexFrom(int key) {
            int index = Arrays.binarySearch(keys, key);
            return index >= 0 ? index : -index - 1;
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
            int end = indexFrom(range.lastKey() + 1);
            for (int i = indexFrom(range.firstKey()); i < end; i++) {
                double uniformCost = uniformCostPerKey * (keys[i] - nextKey);
                if (sum + uniformCost >= targetCost) {
                    break;
                }
                double withKey = sum + uniformCost + costBefore[i + 1] - costBefore[i] + uniformCostPerKey;
                boolean overshoots = withKey - targetCost > targetCost - (sum + uniformCost);
                if (overshoots) {
                    return clampSplitKey(range, keys[i]);
                }
                sum = withKey;
                nextKey = keys[i] + 1;
            }
            int uniformKeys = uniformCostPerKey <= 0 ? 0 : (int) ((targetCost - sum) / uniformCostPerKey);
            return clampSplitKey(range, nextKey + Math.max(0, Math.min(uniformKeys, range.size())));
        }

        private static int clampSplitKey(KeyRange range, int key) {
            return Math.max(range.firstKey() + 1, Math.min(range.lastKey() + 1, key));
        }

        /**
         * Finds a part of a range whose cost lies between two bounds. Of several, the one is chosen with the fewest keys
         * and the fewest ranges left over, so that little but hot keys moves.
         *
         * @return the part; empty if there is none, for example because one key alone costs more
         */
        Optional<KeyRange> findPart(KeyRange range, double minCost, double maxCost) {
            int begin = indexFrom(range.firstKey());
            int end = indexFrom(range.lastKey() + 1);
            List<KeyRange> parts = edgeParts(range, begin, end, minCost);
            int last = begin - 1;
            for (int first = begin; first < end; first++) {
                last = Math.max(last, first);
                while (last < end - 1 && partCost(first, last) < minCost) {
                    last++;
                }
                if (partCost(first, last) < minCost) {
                    break;
                }
                parts.add(extendedToEdges(range, keys[first], keys[last]));
            }
            return parts.stream()
                    .filter(part -> cost(part) <= maxCost)
                    .min(Comparator.comparingInt(part -> expense(range, part)));
        }

        private static KeyRange extendedToEdges(KeyRange range, int firstKey, int lastKey) {
            return new KeyRange(
                    firstKey - range.firstKey() <= KEYS_WORTH_A_RANGE ? range.firstKey() : firstKey,
                    range.lastKey() - lastKey <= KEYS_WORTH_A_RANGE ? range.lastKey() : lastKey);
        }

        private static int expense(KeyRange range, KeyRange part) {
            return part.size() + KEYS_WORTH_A_RANGE * range.without(part).size();
        }

        /** Returns the shortest parts at the start and at the end of a range that cost enough. */
        private List<KeyRange> edgeParts(KeyRange range, int begin, int end, double minCost) {
            List<KeyRange> parts = new ArrayList<>();
            for (int i = begin; i < end; i++) {
                KeyRange part = new KeyRange(range.firstKey(), keys[i]);
                if (cost(part) >= minCost) {
                    parts.add(part);
                    break;
                }
            }
            for (int i = end - 1; i >= begin; i--) {
                KeyRange part = new KeyRange(keys[i], range.lastKey());
                if (cost(part) >= minCost) {
                    parts.add(part);
                    break;
                }
            }
            return parts;
        }

        /** Returns the sampled key of a range with the highest cost; empty if the range has no samples. */
        OptionalInt hottestKey(KeyRange range) {
            int end = indexFrom(range.lastKey() + 1);
            int hottest = -1;
            for (int i = indexFrom(range.firstKey()); i < end; i++) {
                if (hottest < 0 || partCost(i, i) > partCost(hottest, hottest)) {
                    hottest = i;
                }
            }
            return hottest < 0 ? OptionalInt.empty() : OptionalInt.of(keys[hottest]);
        }

        private double partCost(int first, int last) {
            return costBefore[last + 1] - costBefore[first] + uniformCostPerKey * (keys[last] - keys[first] + 1);
        }
    }
}
