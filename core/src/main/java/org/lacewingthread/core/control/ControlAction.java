package org.lacewingthread.core.control;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RosterMember;

/** What {@link EntryVmControl} wants done; the shell carries actions out in order. */
public sealed interface ControlAction {
    /**
     * Append a record. The control learns of success by reading it back; the shell reports only a
     * provable failure ({@link ControlEvent.AppendRefused}) and retries nothing by itself.
     *
     * @param sequence the record's sequence as a writer; an append tried again keeps it
     * @param record the record
     */
    record Append(long sequence, LogRecord record) implements ControlAction {}

    /**
     * Read the log.
     *
     * @param from first offset wanted
     */
    record ReadLog(LogOffset from) implements ControlAction {}

    /**
     * Send a message to another entry VM; may be lost.
     *
     * @param addressee the entry VM
     * @param message the message
     */
    record SendToPeer(RosterMember addressee, PeerMessage message) implements ControlAction {}

    /**
     * Send an order to a backend server.
     *
     * @param order the order
     * @param deadlineMillis monotonic time after which the shell must not send it
     */
    record SendToServer(ServerOrder order, long deadlineMillis) implements ControlAction {}

    /**
     * Hand a new view to the traffic threads.
     *
     * @param view the view
     */
    record Publish(ControlView view) implements ControlAction {}

    /**
     * Write a line to the audit trail.
     *
     * @param line the line
     */
    record Audit(AuditLine line) implements ControlAction {}
}
