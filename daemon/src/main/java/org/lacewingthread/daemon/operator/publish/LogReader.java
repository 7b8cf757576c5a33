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
 * Replays the platform's log into a replica. It starts at the first record or, if the first records have expired, from
 * the oldest snapshot such that no record after the snapshot's applied offset has expired.
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

    /** Receives every entry that the replica consumes. */
    public interface Listener {
        /**
         * Called after the replica consumed an entry.
         *
         * @param before state of the replica before the entry
         * @param entry the consumed entry
         * @param result outcome of the entry in the replica
         */
        void applied(ReplicaState before, LogEntry entry, ApplyResult result);
    }

    /** Creates a reader without a listener. */
    public LogReader(PlatformLog log, RecordFormat format) {
        this(log, format, NO_LISTENER);
    }

    /** Creates a reader whose listener receives the entries of every read. */
    public LogReader(PlatformLog log, RecordFormat format, Listener listener) {
        this.log = log;
        this.format = format;
        this.listener = listener;
    }

    /** Returns the state of the replica after the last entry consumed. */
    public ReplicaState state() {
        return replica.state();
    }

    /**
     * Applies every record up to the end offset that the log returned with its last batch.
     *
     * @throws LogException if the log can't be read; the records read before remain applied
     * @throws LogGapException if records have expired that no snapshot covers
     */
    public void readToEnd() throws LogException, LogGapException {
        readToEnd(NO_LISTENER);
    }

    /** Reads to the end with an additional listener, which receives each entry after the reader's own listener. */
    void readToEnd(Listener additionalListener) throws LogException, LogGapException {
        boolean atEnd = false;
        while (!atEnd) {
            try {
                atEnd = applyNextBatch(additionalListener);
            } catch (LogException.Expired e) {
                startFromSnapshot(e.oldestOffset());
            }
        }
    }

    private boolean applyNextBatch(Listener additionalListener) throws LogException {
        LogBatch batch = readFrom(replica.nextOffset());
        for (LogBatch.RawRecord raw : batch.records()) {
            applyEntry(format.decode(raw.offset(), raw.data()), additionalListener);
        }
        return !batch.endOffset().isAfter(replica.state().appliedOffset());
    }

    private void applyEntry(LogEntry entry, Listener additionalListener) {
        ReplicaState before = replica.state();
        ApplyResult result = replica.apply(entry);
        if (result.outcome().isConsumed()) {
            listener.applied(before, entry, result);
            additionalListener.applied(before, entry, result);
        }
    }

    /**
     * Restores the first snapshot that is ahead of the replica and for which no record after its applied offset has
     * expired.
     */
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
        return replica.newerSnapshot(entry)
                .filter(snapshot -> !oldest.isAfter(snapshot.appliedOffset().next()))
                .filter(replica::restore)
                .isPresent();
    }

    /**
     * Reads a batch and checks that it starts at the requested offset and is empty only at the end of the log, so that
     * no record is skipped and every read makes progress.
     */
    private LogBatch readFrom(LogOffset from) throws LogException {
        LogBatch batch = log.read(from, RECORDS_PER_READ);
        boolean atEnd = from.isAfter(batch.endOffset());
        if (!atEnd && batch.records().isEmpty()) {
            throw new LogException.Unavailable(
                    "the log returned no record from offset " + from + ", although its end offset is "
                            + batch.endOffset(),
                    null);
        }
        if (!batch.records().isEmpty() && !batch.records().get(0).offset().equals(from)) {
            throw new LogException.Unavailable(
                    "the log returned record " + batch.records().get(0).offset() + " first, but offset " + from
                            + " was requested",
                    null);
        }
        return batch;
    }
}
