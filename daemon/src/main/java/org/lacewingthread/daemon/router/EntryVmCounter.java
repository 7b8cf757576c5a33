package org.lacewingthread.daemon.router;

import java.util.HashMap;
import java.util.Map;

/** Counts the entry VMs that are alive, for the leader. All methods run on the control thread. */
final class EntryVmCounter {
    /** How long a VM counts as alive after a report; long enough for several reports to be lost. */
    private static final long REPORT_VALIDITY_MILLIS = 5_000;

    private final Map<String, Long> expiryMillisByVm = new HashMap<>();

    void onReport(String vm, long nowMillis) {
        expiryMillisByVm.put(vm, nowMillis + REPORT_VALIDITY_MILLIS);
    }

    /** Returns the number of live entry VMs, including this one. */
    int count(String self, long nowMillis) {
        expiryMillisByVm.values().removeIf(expiryMillis -> expiryMillis <= nowMillis);
        return expiryMillisByVm.size() + (expiryMillisByVm.containsKey(self) ? 0 : 1);
    }
}
