package org.lacewingthread.core.lease;

import java.util.function.Consumer;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogReplica;

/** Polls the platform's log at a fixed interval, or faster while an appended record is to be read back. */
final class LogPoller {
    private static final long READ_BACK_INTERVAL_MILLIS = 20;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;
    private static final int MISSED_READS_UNTIL_UNREACHABLE = 5;

    private final VmContext context;
    private final Consumer<LogEntry> applier;
    private long nextReadMillis = Long.MIN_VALUE;
    private long requestedAtMillis;
    private long lastReadDelayMillis;
    private long answerDeadlineMillis = Long.MIN_VALUE;
    private long reachableUntilMillis = Long.MIN_VALUE;
    private LogOffset endOffset = LogOffset.NONE;
    private LogOffset skipTo = LogOffset.NONE;
    private LogOffset oldestOffset = LogOffset.NONE;
    private boolean answeredOnce;

    LogPoller(VmContext context, Consumer<LogEntry> applier) {
        this.context = context;
        this.applier = applier;
    }

    /** Requests the next records if a read is due. */
    void advance(boolean awaitsReadBack, long nowMillis) {
        if (nowMillis < answerDeadlineMillis) {
            return;
        }
        if (awaitsReadBack) {
            nextReadMillis = Math.min(nextReadMillis, nowMillis + READ_BACK_INTERVAL_MILLIS);
        }
        if (nowMillis < nextReadMillis) {
            return;
        }
        LogOffset next = context.replica().nextOffset();
        context.outbox().add(new ControlAction.ReadLog(skipTo.isAfter(next) ? skipTo : next));
        requestedAtMillis = nowMillis;
        answerDeadlineMillis = nowMillis + ANSWER_TIMEOUT_MILLIS;
        nextReadMillis = nowMillis + context.settings().logReadMillis();
    }

    /** Applies the records that were read. The next snapshot replaces records that the log no longer retains. */
    void handleRead(ControlEvent.LogRead read, long nowMillis) {
        answerDeadlineMillis = Long.MIN_VALUE;
        reachableUntilMillis =
                nowMillis + MISSED_READS_UNTIL_UNREACHABLE * context.settings().logReadMillis();
        lastReadDelayMillis = nowMillis - requestedAtMillis;
        answeredOnce = true;
        oldestOffset = read.oldestOffset();
        if (read.endOffset().isAfter(endOffset)) {
            endOffset = read.endOffset();
        }
        if (read.oldestOffset().isAfter(context.state().appliedOffset().next())
                && read.entries().isEmpty()) {
            skipTo = read.oldestOffset();
        }
        for (LogEntry entry : read.entries()) {
            apply(entry);
        }
        boolean mayHaveMore = endOffset.isAfter(context.state().appliedOffset());
        if (mayHaveMore && !read.entries().isEmpty()) {
            nextReadMillis = nowMillis;
        }
    }

    /**
     * Applies an entry received from a peer. A snapshot that a peer creates has the offset up to which it reaches,
     * where the log holds another record. It is therefore restored as a state and never applied as a record.
     */
    void applyFromPeer(LogEntry entry) {
        if (context.replica()
                .newerSnapshot(entry)
                .filter(context.replica()::restore)
                .isPresent()) {
            skipTo = LogOffset.NONE;
            return;
        }
        apply(entry);
    }

    /** Applies a record if it is the next one. After a gap, only a snapshot ahead of the applied state is restored. */
    void apply(LogEntry entry) {
        LogReplica replica = context.replica();
        if (entry.offset().equals(replica.nextOffset())) {
            applier.accept(entry);
            return;
        }
        if (!entry.offset().isAfter(replica.nextOffset())) {
            return;
        }
        if (replica.newerSnapshot(entry).filter(replica::restore).isPresent()) {
            skipTo = LogOffset.NONE;
        } else if (entry.offset().value() >= skipTo.value()) {
            skipTo = entry.offset().next();
        }
    }

    /** Records that the log is unavailable. */
    void handleUnavailable(long nowMillis) {
        answerDeadlineMillis = Long.MIN_VALUE;
        reachableUntilMillis = nowMillis;
        nextReadMillis = nowMillis + context.settings().logReadMillis();
    }

    boolean isReachable(long nowMillis) {
        return nowMillis < reachableUntilMillis;
    }

    /** Returns whether the log answers within the election time, so that an election may wait for it. */
    boolean isResponsive(long nowMillis) {
        long delayMillis = nowMillis < answerDeadlineMillis ? nowMillis - requestedAtMillis : 0;
        return isReachable(nowMillis)
                && Math.max(delayMillis, lastReadDelayMillis)
                        < context.settings().electionMillis();
    }

    /** Returns whether the log was read and all records up to its highest known offset are applied. */
    boolean reachedEnd() {
        return answeredOnce && !endOffset.isAfter(context.state().appliedOffset());
    }

    /** Returns whether the log no longer retains the next record to apply. */
    boolean hasGap() {
        return skipTo.isAfter(context.replica().nextOffset());
    }

    LogOffset oldestOffset() {
        return oldestOffset;
    }
}
