package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.id.ServiceId;

/**
 * The recorded owners of all key ranges, and the leader that may change them.
 *
 * @param term number of the period of leadership; grows with each change of leader
 * @param leader leader of this term; empty before the first term
 * @param formerLeaders leaders of earlier terms that may not know yet that they were replaced, and may
 *     still renew grants
 * @param rangesByService ranges of each service, in key order and without overlaps
 * @param era era of the store in which the table is recorded; the store loses its newest records when its era rises
 * @param lossPending whether leaders whose tables were lost may still act, and keys without an owner may be held by any
 *     server
 */
public record RangeTable(
        long term,
        Optional<Leader> leader,
        List<Leader> formerLeaders,
        Map<ServiceId, List<RangeOwnership>> rangesByService,
        long era,
        boolean lossPending) {
    /** The table before the first one is recorded: no leader and no ranges. */
    public static final RangeTable EMPTY = new RangeTable(0, Optional.empty(), List.of(), Map.of(), 0, false);

    /**
     * Copies the collections and checks the order of the ranges.
     *
     * @throws IllegalArgumentException if ranges of a service overlap or are not in key order
     */
    public RangeTable {
        formerLeaders = List.copyOf(formerLeaders);
        Map<ServiceId, List<RangeOwnership>> copy = new TreeMap<>();
        rangesByService.forEach((service, ranges) -> copy.put(service, checkedCopy(service, ranges)));
        rangesByService = Collections.unmodifiableMap(copy);
    }

    private static List<RangeOwnership> checkedCopy(ServiceId service, List<RangeOwnership> ranges) {
        int nextKey = 0;
        for (RangeOwnership ownership : ranges) {
            if (ownership.range().firstKey() < nextKey) {
                throw new IllegalArgumentException(
                        "ranges of service \"" + service + "\" overlap or are out of order at key "
                                + ownership.range().firstKey());
            }
            nextKey = ownership.range().lastKey() + 1;
        }
        return List.copyOf(ranges);
    }

    /** Returns the ranges of a service in key order; empty for an unknown service. */
    public List<RangeOwnership> ranges(ServiceId service) {
        return rangesByService.getOrDefault(service, List.of());
    }

    /** Returns the ownership of the range that contains a key; empty if none does. */
    public Optional<RangeOwnership> find(ServiceId service, int key) {
        List<RangeOwnership> ranges = ranges(service);
        int low = 0;
        int high = ranges.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            KeyRange range = ranges.get(middle).range();
            if (range.contains(key)) {
                return Optional.of(ranges.get(middle));
            }
            if (key < range.firstKey()) {
                high = middle - 1;
            } else {
                low = middle + 1;
            }
        }
        return Optional.empty();
    }

    /** Returns a table of a new term with another leader; the present leader joins the former ones. */
    public RangeTable withLeader(long newTerm, Leader newLeader) {
        List<Leader> former = new ArrayList<>(formerLeaders);
        leader.filter(old -> !former.contains(old)).ifPresent(former::add);
        return new RangeTable(newTerm, Optional.of(newLeader), former, rangesByService, era, lossPending);
    }

    /**
     * Returns this table for another era of the store.
     *
     * @param pending whether leaders whose tables were lost may still act
     */
    public RangeTable inEra(long newEra, boolean pending) {
        return new RangeTable(term, leader, formerLeaders, rangesByService, newEra, pending);
    }

    /** Returns a table with other ranges for all services. */
    public RangeTable withAllRanges(Map<ServiceId, List<RangeOwnership>> ranges) {
        return new RangeTable(term, leader, formerLeaders, ranges, era, lossPending);
    }

    /** Returns the entries of the services of which every key has an owner. */
    <T> Map<ServiceId, T> fullyOwned(Map<ServiceId, T> services) {
        Map<ServiceId, T> owned = new TreeMap<>(services);
        owned.keySet()
                .removeIf(service -> ranges(service).stream()
                                .mapToInt(ownership -> ownership.range().size())
                                .sum()
                        < KeyRange.ALL.size());
        return owned;
    }

    /** Returns a table without former leaders, for use once all of them have stopped sending grants. */
    public RangeTable withoutFormerLeaders() {
        return new RangeTable(term, leader, List.of(), rangesByService, era, lossPending);
    }

    /** Returns a table with other ranges for one service; adjacent settled ranges of an owner are merged. */
    public RangeTable withRanges(ServiceId service, List<RangeOwnership> ranges) {
        Map<ServiceId, List<RangeOwnership>> changed = new TreeMap<>(rangesByService);
        changed.put(service, mergeAdjacent(ranges));
        return new RangeTable(term, leader, formerLeaders, changed, era, lossPending);
    }

    private static List<RangeOwnership> mergeAdjacent(List<RangeOwnership> ranges) {
        List<RangeOwnership> sorted = new ArrayList<>(ranges);
        Collections.sort(sorted);
        List<RangeOwnership> result = new ArrayList<>();
        for (RangeOwnership next : sorted) {
            RangeOwnership last = result.isEmpty() ? null : result.get(result.size() - 1);
            boolean mergeable = last != null
                    && last.range().lastKey() + 1 == next.range().firstKey()
                    && last.owner().equals(next.owner())
                    && !last.isMoving()
                    && !next.isMoving();
            if (mergeable) {
                KeyRange range =
                        new KeyRange(last.range().firstKey(), next.range().lastKey());
                result.set(result.size() - 1, RangeOwnership.settled(range, last.owner()));
            } else {
                result.add(next);
            }
        }
        return result;
    }
}
