package org.lacewingthread.core.keyrange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.CRC32;
import org.lacewingthread.core.id.ServiceId;

/**
 * The difference between two range tables of one term, for entry VMs that know the earlier one.
 *
 * <pre>{@code
 * RangeTableDelta delta = RangeTableDelta.between(earlier, later);
 * Optional<RangeTable> same = delta.applyTo(earlier);
 * }</pre>
 *
 * @param changes the later table, with only those ranges that the earlier one lacks
 * @param checksum checksum of the later table's ranges
 */
public record RangeTableDelta(RangeTable changes, long checksum) {
    /** Returns the difference between two tables. */
    public static RangeTableDelta between(RangeTable earlier, RangeTable later) {
        Map<ServiceId, List<RangeOwnership>> changed = new TreeMap<>();
        later.rangesByService().forEach((service, ranges) -> {
            Set<RangeOwnership> unchanged = new HashSet<>(earlier.ranges(service));
            List<RangeOwnership> differing =
                    ranges.stream().filter(range -> !unchanged.contains(range)).toList();
            if (!differing.isEmpty()) {
                changed.put(service, differing);
            }
        });
        return new RangeTableDelta(later.withAllRanges(changed), checksum(later));
    }

    /**
     * Returns the later table.
     *
     * @param earlier table that the difference was made from
     * @return the later table; empty if the result would not be equal to it, for example because the given table is
     *     another one
     */
    public Optional<RangeTable> applyTo(RangeTable earlier) {
        Map<ServiceId, List<RangeOwnership>> ranges = new TreeMap<>(earlier.rangesByService());
        changes.rangesByService()
                .forEach((service, changed) -> ranges.put(service, replace(earlier.ranges(service), changed)));
        RangeTable later = changes.withAllRanges(ranges);
        return checksum(later) == checksum ? Optional.of(later) : Optional.empty();
    }

    /** Replaces the ranges that have keys in common with changed ones. */
    private static List<RangeOwnership> replace(List<RangeOwnership> ranges, List<RangeOwnership> changed) {
        List<RangeOwnership> result = new ArrayList<>(changed);
        int next = 0;
        for (RangeOwnership ownership : ranges) {
            while (next < changed.size()
                    && changed.get(next).range().lastKey() < ownership.range().firstKey()) {
                next++;
            }
            boolean replaced =
                    next < changed.size() && changed.get(next).range().overlaps(ownership.range());
            if (!replaced) {
                result.add(ownership);
            }
        }
        Collections.sort(result);
        return result;
    }

    private static long checksum(RangeTable table) {
        CRC32 checksum = new CRC32();
        table.rangesByService().forEach((service, ranges) -> {
            checksum.update(service.value().getBytes(StandardCharsets.UTF_8));
            for (RangeOwnership ownership : ranges) {
                String text = " " + ownership.range() + " " + ownership.owner() + " "
                        + ownership.movingFrom().map(Object::toString).orElse("");
                checksum.update(text.getBytes(StandardCharsets.UTF_8));
            }
        });
        return checksum.getValue();
    }
}
