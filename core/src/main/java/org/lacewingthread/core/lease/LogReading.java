package org.lacewingthread.core.lease;

import java.util.function.Consumer;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogReplica;

/** Reads the platform's log at a steady pace, faster while a record of this VM is to be read back. */
final class LogReading {
    private static final long READ_BACK_MILLIS = 20;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;
    private static final int SILENT_READS = 5;

    private final VmContext context;
    private final Consumer<LogEntry> applier;
    private long nextReadMillis = Long.MIN_VALUE;
    private long askedAtMillis;
    private long lastDelayMillis;
    private long answerDeadlineMillis = Long.MIN_VALUE;
    private long reachableUntilMillis = Long.MIN_VALUE;
    private LogOffset endOffset = LogOffset.NONE;
    private LogOffset skipTo = LogOffset.NONE;
    private LogOffset oldestOffset = LogOffset.NONE;
    private boolean answeredOnce;

    LogReading(VmContext context, Consumer<LogEntry> applier) {
        this.context = context;
        this.applier = applier;
    }

    /** Asks for more records when it is time. */
    void advance(boolean awaitsReadBack, long nowMillis) {
        if (nowMillis < answerDeadlineMillis) {
            return;
        }
        if (awaitsReadBack) {
            nextReadMillis = Math.min(nextReadMillis, nowMillis + READ_BACK_MILLIS);
        }
        if (nowMillis < nextReadMillis) {
            return;
        }
        LogOffset next = context.replica().nextOffset();
        context.outbox().add(new ControlAction.ReadLog(skipTo.isAfter(next) ? skipTo : next));
        askedAtMillis = nowMillis;
        answerDeadlineMillis = nowMillis + ANSWER_TIMEOUT_MILLIS;
        nextReadMillis = nowMillis + context.settings().logReadMillis();
    }

    /** Applies what was read. Records that the log no longer keeps are made up for by its next snapshot. */
    void read(ControlEvent.LogRead read, long nowMillis) {
        answerDeadlineMillis = Long.MIN_VALUE;
        reachableUntilMillis = nowMillis + SILENT_READS * context.settings().logReadMillis();
        lastDelayMillis = nowMillis - askedAtMillis;
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
     * Applies what a peer handed on. A snapshot made for this stands at the offset that it reaches, where
     * the log holds another record, so it is taken in as a state and never as a record.
     */
    void applyHandedOn(LogEntry entry) {
        if (context.replica()
                .newerSnapshot(entry)
                .filter(context.replica()::restore)
                .isPresent()) {
            skipTo = LogOffset.NONE;
            return;
        }
        apply(entry);
    }

    /** Applies one record in its turn; after a gap, only a snapshot that is ahead. */
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

    /** Takes in that the log is out. */
    void unavailable(long nowMillis) {
        answerDeadlineMillis = Long.MIN_VALUE;
        reachableUntilMillis = nowMillis;
        nextReadMillis = nowMillis + context.settings().logReadMillis();
    }

    boolean isReachable(long nowMillis) {
        return nowMillis < reachableUntilMillis;
    }

    /** Returns whether the log answers fast enough for an election to wait for it. */
    boolean isPrompt(long nowMillis) {
        long delayMillis = nowMillis < answerDeadlineMillis ? nowMillis - askedAtMillis : 0;
        return isReachable(nowMillis)
                && Math.max(delayMillis, lastDelayMillis) < context.settings().electionMillis();
    }

    /** Returns whether the log was read to its end at least once. */
    boolean reachedEnd() {
        return answeredOnce && !endOffset.isAfter(context.state().appliedOffset());
    }

    /** Returns whether the log no longer keeps the next record. */
    boolean hasGap() {
        return skipTo.isAfter(context.replica().nextOffset());
    }

    LogOffset oldestOffset() {
        return oldestOffset;
    }
}
