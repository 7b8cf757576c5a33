package org.lacewingthread.core.control;

import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RosterMember;

/** An action that {@link EntryVmControl} requests; the surrounding process executes actions in the given order. */
public sealed interface ControlAction {
    /**
     * Appends a record to the platform's log. The state machine learns of success by reading the record
     * back. The surrounding process never retries an append by itself, and reports a failure
     * ({@link ControlEvent.AppendRefused}) only if the append provably did not take effect.
     *
     * @param sequence the writer's sequence number of the record; a repeated append keeps it
     * @param record the record to append
     */
    record Append(long sequence, LogRecord record) implements ControlAction {}

    /**
     * Reads the platform's log.
     *
     * @param from first offset to read
     */
    record ReadLog(LogOffset from) implements ControlAction {}

    /**
     * Sends a message to another entry VM; the message may be lost.
     *
     * @param addressee the receiving entry VM
     * @param message the message to send
     */
    record SendToPeer(RosterMember addressee, PeerMessage message) implements ControlAction {}

    /**
     * Sends an order to a backend server.
     *
     * @param order the order, which names the server
     * @param deadlineMillis monotonic time after which the order must not be sent any more
     */
    record SendToServer(ServerOrder order, long deadlineMillis) implements ControlAction {}

    /**
     * Publishes a new view to the traffic threads.
     *
     * @param view the view that replaces the previous one
     */
    record Publish(ControlView view) implements ControlAction {}

    /**
     * Writes a line to the audit trail.
     *
     * @param line the line to write
     */
    record Audit(AuditLine line) implements ControlAction {}
}
