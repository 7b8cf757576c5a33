package org.lacewingthread.daemon.router;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;

/**
 * The ranges of a table that the table before it lacks, as text for the log.
 *
 * @param listed "service:first-last former&gt;owner" for a moving range, "service:first-last owner" for a settled one
 * @param unlistedCount number of further changed ranges
 */
record RangeTableChanges(List<String> listed, int unlistedCount) {
    static final int MAX_LISTED = 64;

    RangeTableChanges {
        listed = List.copyOf(listed);
    }

    /** Returns the changes from one table to the next, in the order of services and keys. */
    static RangeTableChanges between(RangeTable before, RangeTable after) {
        List<String> listed = new ArrayList<>();
        int unlistedCount = 0;
        for (Map.Entry<ServiceId, List<RangeOwnership>> service :
                after.rangesByService().entrySet()) {
            Set<RangeOwnership> unchanged = new HashSet<>(before.ranges(service.getKey()));
            for (RangeOwnership ownership : service.getValue()) {
                if (unchanged.contains(ownership)) {
                    continue;
                }
                if (listed.size() < MAX_LISTED) {
                    listed.add(describe(service.getKey(), ownership));
                } else {
                    unlistedCount++;
                }
            }
        }
        return new RangeTableChanges(listed, unlistedCount);
    }

    String text() {
        return String.join(", ", listed);
    }

    private static String describe(ServiceId service, RangeOwnership ownership) {
        String former = ownership.movingFrom().map(server -> server + ">").orElse("");
        return service + ":" + ownership.range() + " " + former + ownership.owner();
    }
}
