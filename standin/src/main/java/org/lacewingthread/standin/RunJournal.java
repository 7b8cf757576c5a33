package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Runs of a backend server in the order of their start; the oldest are dropped above a limit. */
final class RunJournal {
    private final int limit;
    private final Map<Long, Run> runs = new LinkedHashMap<>();
    private long nextRunNumber;

    RunJournal(int limit) {
        this.limit = limit;
    }

    synchronized long recordStart(Run run) {
        long number = nextRunNumber++;
        runs.put(number, run);
        if (runs.size() > limit) {
            runs.remove(runs.keySet().iterator().next());
        }
        return number;
    }

    synchronized void recordEnd(long number, long nowMicros) {
        runs.computeIfPresent(number, (key, run) -> run.endedAt(nowMicros));
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs.values());
    }
}
