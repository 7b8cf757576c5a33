package org.lacewingthread.core.lease;

import java.util.Optional;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ReplicaState;

/** Lets leaders append snapshots well before the records that they replace expire. */
final class SnapshotAppender {
    private static final long MAX_AGE_MILLIS = 600_000;
    private static final long NO_APPEND = -1;

    private final VmContext context;
    private final AppendQueue appends;
    private final LogReading log;
    private LogOffset countedFrom = LogOffset.NONE;
    private long countedSinceMillis = Long.MIN_VALUE;
    private long appendSequence = NO_APPEND;

    SnapshotAppender(VmContext context, AppendQueue appends, LogReading log) {
        this.context = context;
        this.appends = appends;
        this.log = log;
    }

    /** Appends a snapshot if one is due. Data centres take turns, so that normally only the first one does. */
    void advance(LeaderTerm leading, boolean logReachable, long nowMillis) {
        if (countedSinceMillis == Long.MIN_VALUE
                || context.replica().newestSnapshotOffset().isAfter(countedFrom)) {
            countedFrom = context.replica().newestSnapshotOffset();
            countedSinceMillis = nowMillis;
        }
        ReplicaState state = context.state();
        long records = state.appliedOffset().value() - countedFrom.value();
        long turn = 1 + rankOfDataCentre(state);
        boolean due = records >= turn * context.settings().snapshotRecords()
                || (records > 1 && nowMillis - countedSinceMillis >= turn * MAX_AGE_MILLIS);
        if (due && logReachable && log.reachedEnd() && !appends.isPending(appendSequence)) {
            appendSequence = appends.add(new LogRecord.SnapshotTaken(state), Optional.of(leading.term()));
        }
    }

    private long rankOfDataCentre(ReplicaState state) {
        return state.dataCentres().keySet().stream()
                .filter(id -> id.compareTo(context.identity().dataCentre()) < 0)
                .count();
    }
}
