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
 * Appends this VM's records one after another. A record is tried again under the same sequence until it is
 * read back, so that an append whose answer was lost takes effect once.
 */
final class AppendQueue {
    private static final long MIN_INTERVAL_MILLIS = 20;
    private static final long FIRST_RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 2_000;
    private static final long REFUSED_RETRY_MILLIS = 100;

    /** A record with the term in which alone it may be sent, if it is bound to one. */
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

    /** Queues a record that is true in any term; returns its sequence. */
    long add(LogRecord record) {
        return add(record, Optional.empty());
    }

    /** Queues a record of a leader; it is dropped when the term ends. */
    long add(LogRecord record, Optional<Term> term) {
        long sequence = nextSequence++;
        queue.add(new Pending(sequence, record, term));
        if (queue.size() == 1) {
            resetRetry();
        }
        return sequence;
    }

    /** Returns whether a record is neither read back nor given up. */
    boolean isPending(long sequence) {
        return queue.stream().anyMatch(p -> p.sequence == sequence);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Gives up a record; an append under way may still take effect. */
    void cancel(long sequence) {
        if (queue.removeIf(p -> p.sequence == sequence)) {
            resetRetry();
        }
    }

    /** Gives up the records of all terms but one. */
    void cancelOtherTerms(Optional<Term> term) {
        if (queue.removeIf(p -> p.term.isPresent() && !p.term.equals(term))) {
            resetRetry();
        }
    }

    /** Takes in a record that was read from the log. */
    void confirmReadBack(LogEntry entry) {
        if (!entry.header().writer().equals(writer)) {
            return;
        }
        nextSequence = Math.max(nextSequence, entry.header().sequence() + 1);
        if (queue.removeIf(p -> p.sequence <= entry.header().sequence())) {
            resetRetry();
        }
    }

    /** Takes in that an append had no effect. */
    void handleRefusal(long sequence, long nowMillis) {
        if (isPending(sequence)) {
            nextAttemptMillis = nowMillis + REFUSED_RETRY_MILLIS;
        }
    }

    /** Sends the first record if it was not sent yet or is due again. */
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
