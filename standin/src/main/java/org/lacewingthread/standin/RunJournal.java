package org.lacewingthread.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Runs of a backend server in the order of their start; above a limit, the oldest are discarded. */
final class RunJournal {
    private final int limit;
    private final Map<Long, Run> runs = new LinkedHashMap<>();
    private long nextRunNumber;

    RunJournal(int limit) {
        this.limit = limit;
    }

    /** Adds a run that has started and returns its number in the journal. */
    synchronized long recordStart(Run run) {
        long number = nextRunNumber++;
        runs.put(number, run);
        if (runs.size() > limit) {
            runs.remove(runs.keySet().iterator().next());
        }
        return number;
    }

    /** Records the end of a run; has no effect if the run was discarded. */
    synchronized void recordEnd(long number, long nowMicros) {
        runs.computeIfPresent(number, (key, run) -> run.endedAt(nowMicros));
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs.values());
    }
}
