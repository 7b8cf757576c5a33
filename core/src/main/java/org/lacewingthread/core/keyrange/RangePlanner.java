package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.id.ServerStart;

/**
 * Cuts the key space by measured load and deals the pieces to servers by capacity. Ranges without a
 * usable owner are dealt first; then pieces move from the busiest server to the idlest one while that
 * pays. Answers the pattern of busy keys that lie side by side, where equal widths would put them all
 * on one server.
 */
public final class RangePlanner {
    /** Load over the mean at which a server gives up keys; below it, noise would move keys about. */
    private static final double OVERLOAD_FACTOR = 1.3;
    /** Moves in one plan for balance; bounds how many keys wait at the same time. */
    private static final int MAX_BALANCE_MOVES = 8;
    /** A load share below which a piece is not cut further when it is dealt. */
    private static final double MIN_SPLIT_LOAD_FACTOR = 0.6;
    /** Ranges a server above which pieces are no longer cut, since each range costs renewals. */
    private static final int MAX_RANGES_PER_SERVER = 6;
    /** Samples below which loads are not compared; fewer tell too little. */
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
     * @param current ranges as recorded, in key order; may have gaps, which nobody owned yet
     * @param capacityByServer servers that may own keys, with their capacity relative to each other
     * @param movable tells whether a range with a usable owner may be moved now
     * @return ranges in key order with the owners wanted; a range whose owner differs from the
     *     current one is to be moved
     */
    public static List<RangeOwnership> plan(
            List<RangeOwnership> current,
            Map<ServerStart, Double> capacityByServer,
            KeyLoad.Profile load,
            java.util.function.Predicate<RangeOwnership> movable) {
        if (capacityByServer.isEmpty()) {
            return current;
        }
        RangePlanner planner = new RangePlanner(capacityByServer, load);
        List<KeyRange> orphans = planner.addOwnedRanges(current);
        orphans.forEach(planner::assign);
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
        List<KeyRange> orphans = new ArrayList<>();
        int nextKey = 0;
        for (RangeOwnership ownership : current) {
            KeyRange range = ownership.range();
            if (range.firstKey() > nextKey) {
                orphans.add(new KeyRange(nextKey, range.firstKey() - 1));
            }
            nextKey = range.lastKey() + 1;
            if (capacityByServer.containsKey(ownership.owner())) {
                addRange(ownership);
            } else if (ownership.isMoving()) {
                ranges.add(ownership);
            } else {
                orphans.add(range);
            }
        }
        if (nextKey <= KeyRange.MAX_KEY) {
            orphans.add(new KeyRange(nextKey, KeyRange.MAX_KEY));
        }
        return orphans;
    }

    private void addRange(RangeOwnership piece) {
        ranges.add(piece);
        costByServer.merge(piece.owner(), load.cost(piece.range()), Double::sum);
    }

    private void assign(KeyRange orphan) {
        KeyRange rest = orphan;
        while (true) {
            ServerStart target = leastUtilized();
            double room = meanCostPerCapacity * capacityByServer.get(target) - costByServer.get(target);
            double wanted = Math.max(room, meanCostPerCapacity * capacityByServer.get(target) * MIN_SPLIT_LOAD_FACTOR);
            int cut = maySplit() ? load.findSplitKey(rest, wanted) : rest.lastKey() + 1;
            double upperCost = cut > rest.lastKey() ? 0 : load.cost(rest.from(cut));
            if (cut > rest.lastKey() || upperCost < meanCostPerCapacity * MIN_SPLIT_LOAD_FACTOR / 2) {
                addRange(RangeOwnership.settled(rest, target));
                return;
            }
            addRange(RangeOwnership.settled(rest.below(cut), target));
            rest = rest.from(cut);
        }
    }

    private boolean maySplit() {
        return ranges.size() < capacityByServer.size() * MAX_RANGES_PER_SERVER;
    }

    private void balance(java.util.function.Predicate<RangeOwnership> movable) {
        for (int i = 0; i < MAX_BALANCE_MOVES; i++) {
            ServerStart target = leastUtilized();
            Optional<ServerStart> source = mostUtilized(movable);
            if (source.isEmpty() || !moveExcess(source.get(), target, movable)) {
                return;
            }
        }
    }

    private Optional<ServerStart> mostUtilized(java.util.function.Predicate<RangeOwnership> movable) {
        boolean targetIsNew = costByServer.get(leastUtilized()) <= 0;
        double threshold = targetIsNew ? 0 : meanCostPerCapacity * OVERLOAD_FACTOR;
        return costByServer.keySet().stream()
                .filter(server -> utilization(server) > threshold)
                .filter(server ->
                        ranges.stream().anyMatch(piece -> piece.owner().equals(server) && isMovable(piece, movable)))
                .max(Comparator.comparingDouble(this::utilization));
    }

    private static boolean isMovable(RangeOwnership piece, java.util.function.Predicate<RangeOwnership> movable) {
        return !piece.isMoving() && movable.test(piece);
    }

    private boolean moveExcess(
            ServerStart source, ServerStart target, java.util.function.Predicate<RangeOwnership> movable) {
        double sourceCapacity = capacityByServer.get(source);
        double targetCapacity = capacityByServer.get(target);
        double excess = (utilization(source) - utilization(target))
                * sourceCapacity
                * targetCapacity
                / (sourceCapacity + targetCapacity);
        RangeOwnership piece = ranges.stream()
                .filter(candidate -> candidate.owner().equals(source) && isMovable(candidate, movable))
                .max(Comparator.comparingDouble(candidate -> moveScore(candidate, excess)))
                .orElseThrow();
        double pieceCost = load.cost(piece.range());
        if (pieceCost <= excess * OVERLOAD_FACTOR) {
            move(piece, piece.range(), target);
            return true;
        }
        int cut = load.findSplitKey(piece.range(), excess);
        if (!maySplit() || cut > piece.range().lastKey()) {
            return false;
        }
        KeyRange lower = piece.range().below(cut);
        KeyRange upper = piece.range().from(cut);
        KeyRange moved = Math.abs(load.cost(lower) - excess) <= Math.abs(load.cost(upper) - excess) ? lower : upper;
        if (load.cost(moved) > excess * 2) {
            return false;
        }
        move(piece, moved, target);
        return true;
    }

    /** Prefers the piece that comes nearest to the wanted cost without passing it, then larger ones. */
    private double moveScore(RangeOwnership piece, double wantedCost) {
        double cost = load.cost(piece.range());
        return cost <= wantedCost * OVERLOAD_FACTOR
                ? wantedCost * 2 + cost
                : wantedCost * 2 - Math.min(wantedCost, cost / 100);
    }

    private void move(RangeOwnership piece, KeyRange moved, ServerStart target) {
        ranges.remove(piece);
        double cost = load.cost(moved);
        costByServer.merge(piece.owner(), -cost, Double::sum);
        costByServer.merge(target, cost, Double::sum);
        if (moved.firstKey() > piece.range().firstKey()) {
            ranges.add(RangeOwnership.settled(piece.range().below(moved.firstKey()), piece.owner()));
        }
        if (moved.lastKey() < piece.range().lastKey()) {
            ranges.add(RangeOwnership.settled(piece.range().from(moved.lastKey() + 1), piece.owner()));
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
