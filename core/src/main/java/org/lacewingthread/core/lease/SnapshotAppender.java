package org.lacewingthread.core.lease;

import java.util.Optional;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.SnapshotPolicy;

/** Lets a leader append snapshots when {@link SnapshotPolicy} finds one due. */
final class SnapshotAppender {
    private static final long MAX_AGE_MILLIS = 600_000;
    private static final long NO_APPEND = -1;

    private final VmContext context;
    private final AppendQueue appendQueue;
    private final LogPoller logPoller;
    private final SnapshotPolicy policy;
    private LogOffset newestOffset = LogOffset.NONE;
    private long newestSeenAtMillis = Long.MIN_VALUE;
    private long appendSequence = NO_APPEND;

    SnapshotAppender(VmContext context, AppendQueue appends, LogPoller log) {
        this.context = context;
        this.appendQueue = appends;
        this.logPoller = log;
        this.policy = new SnapshotPolicy(context.settings().snapshotRecords(), MAX_AGE_MILLIS);
    }

    /** Notes when the newest snapshot was passed. */
    void observe(long nowMillis) {
        LogOffset offset = context.replica().newestSnapshotOffset();
        if (newestSeenAtMillis == Long.MIN_VALUE || offset.isAfter(newestOffset)) {
            newestOffset = offset;
            newestSeenAtMillis = nowMillis;
        }
    }

    /** Appends a snapshot if one is due. */
    void advance(LeaderTermState leading, boolean logReachable, long nowMillis) {
        if (!logReachable || !logPoller.reachedEnd() || appendQueue.isPending(appendSequence)) {
            return;
        }
        boolean due = policy.isDue(
                context.replica(),
                context.identity().dataCentre(),
                logPoller.oldestOffset(),
                newestSeenAtMillis,
                nowMillis);
        if (due) {
            LogRecord snapshot = new LogRecord.SnapshotTaken(context.state());
            appendSequence = appendQueue.add(snapshot, Optional.of(leading.term()));
        }
    }
}
