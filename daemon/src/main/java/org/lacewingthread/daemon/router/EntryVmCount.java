package org.lacewingthread.daemon.router;

import java.util.HashMap;
import java.util.Map;

/** The leader's count of the entry VMs that are alive, itself included. Runs on the control thread. */
final class EntryVmCount {
    /** How long a VM counts after a report; several reports may be lost. */
    private static final long COUNTED_MILLIS = 5_000;

    private final Map<String, Long> countedUntilMillis = new HashMap<>();

    void onReport(String vm, long nowMillis) {
        countedUntilMillis.put(vm, nowMillis + COUNTED_MILLIS);
    }

    int count(String self, long nowMillis) {
        countedUntilMillis.values().removeIf(until -> until <= nowMillis);
        return countedUntilMillis.size() + (countedUntilMillis.containsKey(self) ? 0 : 1);
    }
}
