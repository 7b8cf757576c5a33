package org.lacewingthread.daemon.operator.publish;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.ApplyResult;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.daemon.platform.LogBatch;
import org.lacewingthread.daemon.platform.LogException;
import org.lacewingthread.daemon.platform.PlatformLog;

/**
 * Replays the platform's log into a replica: from its first record, or from the oldest snapshot that
 * still has all of its successors if the first records have expired.
 *
 * <pre>{@code
 * LogReader reader = new LogReader(log, format);
 * reader.readToEnd();
 * ReplicaState state = reader.state();
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class LogReader {
    private static final int RECORDS_PER_READ = 500;
    private static final Listener NO_LISTENER = (before, entry, result) -> {};

    private final PlatformLog log;
    private final RecordFormat format;
    private final Listener listener;
    private final LogReplica replica = new LogReplica();

    /** Hears of every entry that the replica takes. */
    public interface Listener {
        /**
         * Called after an entry was applied.
         *
         * @param before state before the entry
         * @param entry the entry
         * @param result what the replica did with it
         */
        void applied(ReplicaState before, LogEntry entry, ApplyResult result);
    }

    /** Creates a reader. */
    public LogReader(PlatformLog log, RecordFormat format) {
        this(log, format, NO_LISTENER);
    }

    /** Creates a reader with a listener. */
    public LogReader(PlatformLog log, RecordFormat format, Listener listener) {
        this.log = log;
        this.format = format;
        this.listener = listener;
    }

    /** Returns the state after the last record read. */
    public ReplicaState state() {
        return replica.state();
    }

    /**
     * Applies every record up to the end that the log states in its last answer.
     *
     * @throws LogException if the log can't be read; what was read before stays applied
     * @throws LogGapException if records were missed for good
     */
    public void readToEnd() throws LogException, LogGapException {
        readToEnd(NO_LISTENER);
    }

    /** Does the same with another listener, which hears of each entry after the reader's own. */
    void readToEnd(Listener also) throws LogException, LogGapException {
        boolean atEnd = false;
        while (!atEnd) {
            try {
                atEnd = applyNextBatch(also);
            } catch (LogException.Expired e) {
                startFromSnapshot(e.oldestOffset());
            }
        }
    }

    private boolean applyNextBatch(Listener also) throws LogException {
        LogBatch batch = readFrom(replica.nextOffset());
        for (LogBatch.RawRecord raw : batch.records()) {
            applyEntry(format.decode(raw.offset(), raw.data()), also);
        }
        return !batch.endOffset().isAfter(replica.state().appliedOffset());
    }

    private void applyEntry(LogEntry entry, Listener also) {
        ReplicaState before = replica.state();
        ApplyResult result = replica.apply(entry);
        if (result.outcome().isConsumed()) {
            listener.applied(before, entry, result);
            also.applied(before, entry, result);
        }
    }

    /** Finds the first snapshot that is ahead of the replica and whose successors are all still kept. */
    private void startFromSnapshot(LogOffset oldest) throws LogException, LogGapException {
        LogOffset from = oldest;
        while (true) {
            LogBatch batch = readFrom(from);
            for (LogBatch.RawRecord raw : batch.records()) {
                if (restore(format.decode(raw.offset(), raw.data()), batch.oldestOffset())) {
                    return;
                }
                from = raw.offset().next();
            }
            if (from.isAfter(batch.endOffset())) {
                throw new LogGapException(replica.nextOffset(), batch.oldestOffset());
            }
        }
    }

    private boolean restore(LogEntry entry, LogOffset oldest) {
        return replica.snapshotAhead(entry)
                .filter(snapshot -> !oldest.isAfter(snapshot.appliedOffset().next()))
                .filter(replica::restore)
                .isPresent();
    }

    /** Reads a batch that starts where it should and moves on. */
    private LogBatch readFrom(LogOffset from) throws LogException {
        LogBatch batch = log.read(from, RECORDS_PER_READ);
        boolean atEnd = from.isAfter(batch.endOffset());
        if (!atEnd && batch.records().isEmpty()) {
            throw new LogException.Unavailable(
                    "log states end " + batch.endOffset() + " but gave no record from " + from, null);
        }
        if (!batch.records().isEmpty() && !batch.records().get(0).offset().equals(from)) {
            throw new LogException.Unavailable(
                    "log gave record " + batch.records().get(0).offset() + " first when " + from + " was wanted", null);
        }
        return batch;
    }
}
