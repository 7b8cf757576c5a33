package org.lacewingthread.core.lease;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;

/**
 * Appends this VM's records one at a time. An append is retried with the same sequence number until the record is
 * read back, so that an append whose answer was lost takes effect only once.
 */
final class AppendQueue {
    private static final long MIN_INTERVAL_MILLIS = 20;
    private static final long FIRST_RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 2_000;
    private static final long REFUSED_RETRY_MILLIS = 100;

    /** A queued record. If it has a term, it may only be sent while this VM leads in that term. */
    private record Pending(long sequence, LogRecord record, Optional<Term> term) {}

    private final WriterId writer;
    private final Outbox outbox;
    private final Deque<Pending> queue = new ArrayDeque<>();
    private long nextSequence;
    private long earliestSendMillis = Long.MIN_VALUE;
    private long nextAttemptMillis = Long.MIN_VALUE;
    private long retryDelayMillis = FIRST_RETRY_MILLIS;

    AppendQueue(WriterId writer, Outbox outbox) {
        this.writer = writer;
        this.outbox = outbox;
    }

    /** Queues a record that is valid in any term and returns its sequence number. */
    long add(LogRecord record) {
        return add(record, Optional.empty());
    }

    /**
     * Queues a record and returns its sequence number.
     *
     * @param term term at whose end the record is cancelled, or empty if the record is valid in any term
     */
    long add(LogRecord record, Optional<Term> term) {
        long sequence = nextSequence++;
        queue.add(new Pending(sequence, record, term));
        if (queue.size() == 1) {
            resetRetry();
        }
        return sequence;
    }

    /** Returns whether a record has neither been read back nor cancelled. */
    boolean isPending(long sequence) {
        return queue.stream().anyMatch(p -> p.sequence == sequence);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Cancels a record. An append that was already sent may still take effect. */
    void cancel(long sequence) {
        if (queue.removeIf(p -> p.sequence == sequence)) {
            resetRetry();
        }
    }

    /** Cancels the records of all terms except the given one. */
    void cancelOtherTerms(Optional<Term> term) {
        if (queue.removeIf(p -> p.term.isPresent() && !p.term.equals(term))) {
            resetRetry();
        }
    }

    /** Removes records that an entry read from the log confirms, and moves the next sequence number past it. */
    void confirmReadBack(LogEntry entry) {
        if (!entry.header().writer().equals(writer)) {
            return;
        }
        nextSequence = Math.max(nextSequence, entry.header().sequence() + 1);
        if (queue.removeIf(p -> p.sequence <= entry.header().sequence())) {
            resetRetry();
        }
    }

    /** Schedules a retry of an append that had no effect. */
    void handleRefusal(long sequence, long nowMillis) {
        if (isPending(sequence)) {
            nextAttemptMillis = nowMillis + REFUSED_RETRY_MILLIS;
        }
    }

    /** Sends the first record if it has not been sent or its retry is due. */
    void advance(long nowMillis) {
        Pending first = queue.peek();
        if (first == null || nowMillis < Math.max(nextAttemptMillis, earliestSendMillis)) {
            return;
        }
        outbox.add(new ControlAction.Append(first.sequence, first.record));
        earliestSendMillis = nowMillis + MIN_INTERVAL_MILLIS;
        nextAttemptMillis = nowMillis + retryDelayMillis;
        retryDelayMillis = Math.min(2 * retryDelayMillis, MAX_RETRY_MILLIS);
    }

    private void resetRetry() {
        retryDelayMillis = FIRST_RETRY_MILLIS;
        nextAttemptMillis = Long.MIN_VALUE;
    }
}
