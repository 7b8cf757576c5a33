package org.lacewingthread.core.lease;

import java.util.Optional;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.SnapshotPolicy;

/** Appends snapshots as the leader when {@link SnapshotPolicy} reports one as due. */
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

    SnapshotAppender(VmContext context, AppendQueue appendQueue, LogPoller logPoller) {
        this.context = context;
        this.appendQueue = appendQueue;
        this.logPoller = logPoller;
        this.policy = new SnapshotPolicy(context.settings().snapshotRecords(), MAX_AGE_MILLIS);
    }

    /** Records the time at which the newest snapshot was first seen. */
    void observe(long nowMillis) {
        LogOffset offset = context.replica().newestSnapshotOffset();
        if (newestSeenAtMillis == Long.MIN_VALUE || offset.isAfter(newestOffset)) {
            newestOffset = offset;
            newestSeenAtMillis = nowMillis;
        }
    }

    /** Appends a snapshot if one is due. */
    void advance(LeaderTermState leaderTerm, boolean logReachable, long nowMillis) {
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
            appendSequence = appendQueue.add(snapshot, Optional.of(leaderTerm.term()));
        }
    }
}
