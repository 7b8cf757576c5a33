package org.lacewingthread.daemon.router;

import java.util.HashMap;
import java.util.Map;

/** The leader's count of the entry VMs that are alive, itself included. Runs on the control thread. */
final class EntryVmCounter {
    /** How long a VM counts after a report; several reports may be lost. */
    private static final long REPORT_VALIDITY_MILLIS = 5_000;

    private final Map<String, Long> expiryMillisByVm = new HashMap<>();

    void onReport(String vm, long nowMillis) {
        expiryMillisByVm.put(vm, nowMillis + REPORT_VALIDITY_MILLIS);
    }

    int count(String self, long nowMillis) {
        expiryMillisByVm.values().removeIf(until -> until <= nowMillis);
        return expiryMillisByVm.size() + (expiryMillisByVm.containsKey(self) ? 0 : 1);
    }
}
