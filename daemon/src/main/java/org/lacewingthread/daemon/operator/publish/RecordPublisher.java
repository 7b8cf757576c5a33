package org.lacewingthread.daemon.operator.publish;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.ApplyResult;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.daemon.platform.LogException;
import org.lacewingthread.daemon.platform.PlatformLog;

/**
 * Publishes records to the platform's log and reports whether they took effect.
 *
 * <p>The log's response to an append may be lost after the append took effect. The publisher therefore reads the log
 * until it finds its own record, and appends the record again under the same sequence number until then; replicas
 * ignore every copy but the first. It reports success or failure only when the outcome is known, and throws
 * {@link PublishException.OutcomeUnknown} if the deadline passes first.
 *
 * <pre>{@code
 * RecordPublisher publisher = new RecordPublisher(log, format, reader, writer, "rosa", PublisherClock.SYSTEM);
 * LogOffset offset = publisher.publish(new LogRecord.ServerDrainSet(server, true), deadlineMillis);
 * }</pre>
 *
 * <p>Not safe for use by several threads. Every start of a process needs its own writer id, because sequence numbers
 * start at 0.
 */
public final class RecordPublisher {
    private static final long RETRY_MILLIS = 200;

    private final PlatformLog log;
    private final RecordFormat format;
    private final LogReader reader;
    private final WriterId writer;
    private final String author;
    private final PublisherClock clock;
    private long nextSequence;

    /**
     * Creates a publisher.
     *
     * @param log log that records are appended to
     * @param format encodes the records
     * @param reader reads the same log; its state includes the record after each successful publication
     * @param writer writer id that is unique to this start of the process
     * @param author person shown as author in the audit trail
     * @param clock source of the time and of waits
     */
    public RecordPublisher(
            PlatformLog log,
            RecordFormat format,
            LogReader reader,
            WriterId writer,
            String author,
            PublisherClock clock) {
        this.log = log;
        this.format = format;
        this.reader = reader;
        this.writer = writer;
        this.author = author;
        this.clock = clock;
    }

    /** Returns the reader, whose state includes the record after each successful publication. */
    public LogReader reader() {
        return reader;
    }

    /**
     * Reads the log to its end and retries failed reads until the deadline.
     *
     * @param deadlineMillis deadline on the monotonic clock, in milliseconds
     * @throws PublishException.NotPublished if the log can't be read
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void refresh(long deadlineMillis) throws PublishException, InterruptedException {
        while (true) {
            try {
                reader.readToEnd();
                return;
            } catch (LogGapException e) {
                throw new PublishException.NotPublished(e.getMessage(), e);
            } catch (LogException e) {
                if (clock.monotonicMillis() + RETRY_MILLIS >= deadlineMillis) {
                    throw new PublishException.NotPublished("the log can't be read: " + e.getMessage(), e);
                }
                clock.sleep(RETRY_MILLIS);
            }
        }
    }

    /**
     * Publishes a record and waits until its outcome is known.
     *
     * @param body content of the record
     * @param deadlineMillis deadline on the monotonic clock, in milliseconds
     * @return offset of the record, which took effect
     * @throws PublishException if the record had no effect or its outcome is unknown
     * @throws InterruptedException if the thread is interrupted while it waits; the outcome is then unknown
     */
    public LogOffset publish(LogRecord body, long deadlineMillis) throws PublishException, InterruptedException {
        RecordHeader header = new RecordHeader(writer, nextSequence++, author, clock.epochMillis());
        return new Publication(header, encode(header, body), deadlineMillis).run();
    }

    private byte[] encode(RecordHeader header, LogRecord body) throws PublishException {
        try {
            return format.encode(header, body);
        } catch (RecordFormat.UnwritableRecordException e) {
            throw new PublishException.Invalid(e.getMessage(), e);
        }
    }

    /** State of the publication of one record over all its attempts. */
    private final class Publication implements LogReader.Listener {
        private final RecordHeader header;
        private final byte[] data;
        private final long deadlineMillis;
        private LogOffset acknowledgedOffset;
        private boolean possiblyAppended;
        private Exception lastFailure;
        private ApplyResult result;
        private LogOffset offset;

        Publication(RecordHeader header, byte[] data, long deadlineMillis) {
            this.header = header;
            this.data = data;
            this.deadlineMillis = deadlineMillis;
        }

        LogOffset run() throws PublishException, InterruptedException {
            while (result == null) {
                long pauseMillis = acknowledgedOffset == null ? append() : 0;
                if (possiblyAppended && !readBack()) {
                    pauseMillis = Math.max(pauseMillis, RETRY_MILLIS);
                }
                if (result == null) {
                    waitOrGiveUp(pauseMillis);
                }
            }
            return offsetOrThrow();
        }

        /** Appends the record once. Returns the time to wait before the next attempt, in milliseconds. */
        private long append() {
            try {
                acknowledgedOffset = log.append(data);
                possiblyAppended = true;
                return 0;
            } catch (LogException.RateExceeded e) {
                lastFailure = e;
                return Math.max(RETRY_MILLIS, e.retryAfterMillis());
            } catch (LogException.OutcomeUnknown e) {
                lastFailure = e;
                possiblyAppended = true;
                return RETRY_MILLIS;
            } catch (LogException e) {
                lastFailure = e;
                return RETRY_MILLIS;
            }
        }

        /** Reads the log to its end. Returns whether the outcome of the record is known. */
        private boolean readBack() throws PublishException {
            try {
                reader.readToEnd(this);
            } catch (LogException e) {
                lastFailure = e;
                return false;
            } catch (LogGapException e) {
                throw new PublishException.OutcomeUnknown(e.getMessage(), e);
            }
            if (result == null) {
                resolveFromSnapshot();
            }
            return result != null;
        }

        @Override
        public void applied(ReplicaState before, LogEntry entry, ApplyResult applied) {
            RecordHeader found = entry.header();
            boolean own =
                    found != null && found.writer().equals(header.writer()) && found.sequence() == header.sequence();
            if (own && result == null && applied.outcome() != ApplyResult.Outcome.DUPLICATE) {
                result = applied;
                offset = entry.offset();
            }
        }

        /**
         * Derives the outcome from the writer's last sequence number in the state. This is needed if the reader skipped
         * the record because it started from a snapshot taken after the record.
         */
        private void resolveFromSnapshot() throws PublishException {
            Long last = reader.state().lastSequences().get(writer);
            if (last == null || last < header.sequence()) {
                return;
            }
            LogOffset own = reader.state().lastOffsets().get(writer);
            if (!own.equals(reader.state().configurationRevision())) {
                throw new PublishException.OutcomeUnknown(
                        "record " + own + " expired before its outcome could be read; look it up in the audit trail",
                        null);
            }
            result = ApplyResult.ACCEPTED;
            offset = own;
        }

        private void waitOrGiveUp(long pauseMillis) throws PublishException, InterruptedException {
            if (clock.monotonicMillis() + pauseMillis < deadlineMillis) {
                clock.sleep(pauseMillis);
                return;
            }
            String reason = lastFailure == null ? "the record was not found in the log" : lastFailure.getMessage();
            if (possiblyAppended) {
                throw new PublishException.OutcomeUnknown(
                        "the record of writer \"" + writer + "\", sequence " + header.sequence()
                                + ", may still take effect; look it up in the audit trail before trying again ("
                                + reason + ")",
                        lastFailure);
            }
            throw new PublishException.NotPublished(
                    "the record could not be appended before the deadline: " + reason, lastFailure);
        }

        private LogOffset offsetOrThrow() throws PublishException {
            return switch (result.outcome()) {
                case ACCEPTED -> offset;
                case CONFLICT -> throw new PublishException.Conflict(result.reason());
                default -> throw new PublishException.Invalid(result.reason(), null);
            };
        }
    }
}
