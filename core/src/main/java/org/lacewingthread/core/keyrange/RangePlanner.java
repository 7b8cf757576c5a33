package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lacewingthread.core.id.ServerStart;

/**
 * Splits the key space by measured load and assigns the ranges to servers by capacity. Ranges without a
 * usable owner are assigned first; then the narrowest parts with enough load move from overloaded servers to the
 * least utilized ones. Splitting by load spreads adjacent busy keys over several servers, where
 * ranges of equal width would put them all on one.
 */
public final class RangePlanner {
    /** Utilization relative to the mean above which a server loses keys; lower values let noise move keys. */
    private static final double OVERLOAD_FACTOR = 1.3;
    /**
     * Maximum moves for balance in one plan. While it is unknown whether a plan was recorded, the owners that it
     * replaces are not renewed; further moves follow in the next plan.
     */
    static final int MAX_BALANCE_MOVES = 8;
    /** Standard deviations of a server's sampled load that are added to the overload threshold. */
    private static final double OVERLOAD_DEVIATIONS = 1;
    /** Cost of a moved part relative to the one that makes source and target equal: the least, and the most. */
    private static final double MIN_MOVE_FACTOR = 0.5;

    private static final double MAX_MOVE_FACTOR = 1.3;
    /** Cost relative to the same, or to a fair share, below which moving a part is not worth its handover. */
    private static final double MIN_USEFUL_MOVE_FACTOR = 0.15;
    /** Capacity of a server relative to a slower one from which it takes a key that is too much for both. */
    private static final double FASTER_FACTOR = 1.25;
    /** Least load to split off for a server, relative to its fair share; a remainder needs half as much. */
    private static final double MIN_SPLIT_LOAD_FACTOR = 0.6;
    /** Mean number of ranges per server from which ranges are not split, since each range needs renewals. */
    private static final int MAX_RANGES_PER_SERVER = 6;
    /** Number of samples below which loads are not compared, since too few are not representative. */
    private static final int MIN_SAMPLES = 40;

    private final List<RangeOwnership> ranges = new ArrayList<>();
    private final Map<ServerStart, Double> capacityByServer;
    private final Map<ServerStart, Double> costByServer = new TreeMap<>();
    private final KeyLoad.Profile load;
    private final double meanCostPerCapacity;

    private RangePlanner(Map<ServerStart, Double> capacityByServer, KeyLoad.Profile load) {
        this.capacityByServer = capacityByServer;
        this.load = load;
        double capacity = capacityByServer.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        this.meanCostPerCapacity = load.cost(KeyRange.ALL) / capacity;
        capacityByServer.keySet().forEach(server -> costByServer.put(server, 0.0));
    }

    /**
     * Plans owners for the whole key space.
     *
     * @param current recorded ranges in key order; keys in gaps have no owner yet
     * @param capacityByServer servers that may own keys, with their capacity relative to each other; if
     *     empty, the current ranges are returned
     * @param load load of the key space
     * @param movable whether a range with a usable owner may be moved now
     * @return ranges in key order with their planned owners; a range whose owner differs from the
     *     current one is to be moved
     */
    public static List<RangeOwnership> plan(
            List<RangeOwnership> current,
            Map<ServerStart, Double> capacityByServer,
            KeyLoad.Profile load,
            Predicate<RangeOwnership> movable) {
        if (capacityByServer.isEmpty()) {
            return current;
        }
        RangePlanner planner = new RangePlanner(capacityByServer, load);
        List<KeyRange> unownedRanges = planner.addOwnedRanges(current);
        unownedRanges.forEach(planner::assign);
        if (load.sampleCount() >= MIN_SAMPLES || planner.someServerOwnsNothing()) {
            planner.balance(movable);
        }
        planner.ranges.sort(Comparator.naturalOrder());
        return planner.ranges;
    }

    private boolean someServerOwnsNothing() {
        return costByServer.values().stream().anyMatch(cost -> cost <= 0);
    }

    private List<KeyRange> addOwnedRanges(List<RangeOwnership> current) {
        List<KeyRange> unownedRanges = new ArrayList<>();
        int nextKey = 0;
        for (RangeOwnership ownership : current) {
            KeyRange range = ownership.range();
            if (range.firstKey() > nextKey) {
                unownedRanges.add(new KeyRange(nextKey, range.firstKey() - 1));
            }
            nextKey = range.lastKey() + 1;
            if (capacityByServer.containsKey(ownership.owner())) {
                addRange(ownership);
            } else if (ownership.isMoving()) {
                ranges.add(ownership);
            } else {
                unownedRanges.add(range);
            }
        }
        if (nextKey <= KeyRange.MAX_KEY) {
            unownedRanges.add(new KeyRange(nextKey, KeyRange.MAX_KEY));
        }
        return unownedRanges;
    }

    private void addRange(RangeOwnership ownership) {
        ranges.add(ownership);
        costByServer.merge(ownership.owner(), load.cost(ownership.range()), Double::sum);
    }

    private void assign(KeyRange unowned) {
        KeyRange rest = unowned;
        while (true) {
            ServerStart target = leastUtilized();
            double spareCost = meanCostPerCapacity * capacityByServer.get(target) - costByServer.get(target);
            double targetCost =
                    Math.max(spareCost, meanCostPerCapacity * capacityByServer.get(target) * MIN_SPLIT_LOAD_FACTOR);
            int splitKey = maySplit() ? load.findSplitKey(rest, targetCost) : rest.lastKey() + 1;
            double upperCost = splitKey > rest.lastKey() ? 0 : load.cost(rest.from(splitKey));
            if (splitKey > rest.lastKey() || upperCost < meanCostPerCapacity * MIN_SPLIT_LOAD_FACTOR / 2) {
                addRange(RangeOwnership.settled(rest, target));
                return;
            }
            addRange(RangeOwnership.settled(rest.below(splitKey), target));
            rest = rest.from(splitKey);
        }
    }

    private boolean maySplit() {
        return ranges.size() < capacityByServer.size() * MAX_RANGES_PER_SERVER;
    }

    private void balance(Predicate<RangeOwnership> movable) {
        Set<ServerStart> unmovable = new HashSet<>();
        for (int moves = 0; moves < MAX_BALANCE_MOVES; ) {
            ServerStart target = leastUtilized();
            Optional<ServerStart> source = mostOverloaded(target, unmovable);
            if (source.isEmpty()) {
                return;
            }
            if (moveExcess(source.get(), target, movable) || moveHottestKeyToFasterServer(source.get(), movable)) {
                moves++;
            } else {
                unmovable.add(source.get());
            }
        }
    }

    private Optional<ServerStart> mostOverloaded(ServerStart target, Set<ServerStart> unmovable) {
        boolean targetIsNew = costByServer.get(target) <= 0;
        return costByServer.keySet().stream()
                .filter(server -> !unmovable.contains(server) && !server.equals(target))
                .filter(server -> targetIsNew || isOverloaded(server))
                .max(Comparator.comparingDouble(this::utilization));
    }

    private boolean isOverloaded(ServerStart server) {
        double fairCost = meanCostPerCapacity * capacityByServer.get(server);
        double deviation = Math.sqrt(fairCost * load.meanSampleCost());
        return costByServer.get(server) > fairCost * OVERLOAD_FACTOR + deviation * OVERLOAD_DEVIATIONS;
    }

    private static boolean isMovable(RangeOwnership ownership, Predicate<RangeOwnership> movable) {
        return !ownership.isMoving() && movable.test(ownership);
    }

    /** A part of an owned range that may move. */
    private record Part(RangeOwnership ownership, KeyRange keys, double cost) {}

    private boolean moveExcess(ServerStart source, ServerStart target, Predicate<RangeOwnership> movable) {
        double sourceCapacity = capacityByServer.get(source);
        double targetCapacity = capacityByServer.get(target);
        double excessCost = (utilization(source) - utilization(target))
                * sourceCapacity
                * targetCapacity
                / (sourceCapacity + targetCapacity);
        List<Part> parts = ranges.stream()
                .filter(candidate -> candidate.owner().equals(source) && isMovable(candidate, movable))
                .flatMap(candidate -> movableParts(candidate, excessCost).stream())
                .toList();
        Optional<Part> chosen = parts.stream()
                .filter(part -> part.cost() >= excessCost * MIN_MOVE_FACTOR)
                .min(Comparator.comparingInt(part -> part.keys().size()))
                .or(() -> parts.stream().max(Comparator.comparingDouble(Part::cost)));
        double usefulCost = Math.min(excessCost, meanCostPerCapacity * sourceCapacity) * MIN_USEFUL_MOVE_FACTOR;
        if (chosen.isEmpty() || chosen.get().cost() < usefulCost) {
            return false;
        }
        move(chosen.get().ownership(), chosen.get().keys(), target);
        return true;
    }

    /** Moves a key that is too much for any server to the fastest one that has no such key, so that most of it is served. */
    private boolean moveHottestKeyToFasterServer(ServerStart source, Predicate<RangeOwnership> movable) {
        Optional<Part> hottest = ranges.stream()
                .filter(candidate -> candidate.owner().equals(source) && isMovable(candidate, movable))
                .flatMap(candidate -> hottestKey(candidate).stream())
                .max(Comparator.comparingDouble(Part::cost));
        Optional<ServerStart> fastest = capacityByServer.keySet().stream()
                .filter(server -> ranges.stream()
                        .filter(ownership -> ownership.owner().equals(server))
                        .flatMap(ownership -> hottestKey(ownership).stream())
                        .noneMatch(key -> isTooMuch(key, server)))
                .max(Comparator.comparingDouble(capacityByServer::get));
        boolean worthwhile = hottest.isPresent()
                && fastest.isPresent()
                && isTooMuch(hottest.get(), fastest.get())
                && capacityByServer.get(fastest.get()) >= capacityByServer.get(source) * FASTER_FACTOR;
        if (worthwhile) {
            move(hottest.get().ownership(), hottest.get().keys(), fastest.get());
        }
        return worthwhile;
    }

    private Optional<Part> hottestKey(RangeOwnership ownership) {
        OptionalInt key = load.hottestKey(ownership.range());
        if (key.isEmpty()) {
            return Optional.empty();
        }
        KeyRange range = new KeyRange(key.getAsInt(), key.getAsInt());
        return Optional.of(new Part(ownership, range, load.cost(range)));
    }

    private boolean isTooMuch(Part key, ServerStart server) {
        return key.cost() > meanCostPerCapacity * capacityByServer.get(server) * OVERLOAD_FACTOR;
    }

    /** Returns the whole range if it is not too much to move, otherwise a part that is enough. */
    private List<Part> movableParts(RangeOwnership ownership, double excessCost) {
        double cost = load.cost(ownership.range());
        if (cost <= excessCost * MAX_MOVE_FACTOR) {
            return List.of(new Part(ownership, ownership.range(), cost));
        }
        if (!maySplit()) {
            return List.of();
        }
        List<Part> parts = new ArrayList<>();
        load.findPart(ownership.range(), excessCost * MIN_MOVE_FACTOR, excessCost * MAX_MOVE_FACTOR)
                .ifPresent(keys -> parts.add(new Part(ownership, keys, load.cost(keys))));
        if (parts.isEmpty()) {
            // Only single keys with too much load, and keys without samples.
            int splitKey = load.findSplitKey(ownership.range(), excessCost);
            if (splitKey <= ownership.range().lastKey()) {
                for (KeyRange keys : List.of(
                        ownership.range().below(splitKey), ownership.range().from(splitKey))) {
                    double partCost = load.cost(keys);
                    if (partCost <= excessCost * MAX_MOVE_FACTOR) {
                        parts.add(new Part(ownership, keys, partCost));
                    }
                }
            }
        }
        return parts;
    }

    private void move(RangeOwnership ownership, KeyRange moved, ServerStart target) {
        ranges.remove(ownership);
        double cost = load.cost(moved);
        costByServer.merge(ownership.owner(), -cost, Double::sum);
        costByServer.merge(target, cost, Double::sum);
        if (moved.firstKey() > ownership.range().firstKey()) {
            ranges.add(RangeOwnership.settled(ownership.range().below(moved.firstKey()), ownership.owner()));
        }
        if (moved.lastKey() < ownership.range().lastKey()) {
            ranges.add(RangeOwnership.settled(ownership.range().from(moved.lastKey() + 1), ownership.owner()));
        }
        ranges.add(RangeOwnership.settled(moved, target));
    }

    private double utilization(ServerStart server) {
        return costByServer.get(server) / capacityByServer.get(server);
    }

    private ServerStart leastUtilized() {
        return costByServer.keySet().stream()
                .min(Comparator.comparingDouble(this::utilization))
                .orElseThrow();
    }
}
