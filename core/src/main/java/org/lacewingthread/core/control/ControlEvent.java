package org.lacewingthread.core.control;

import java.util.List;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.LogEntry;

/** An input of {@link EntryVmControl}: something that happened to this entry VM. */
public sealed interface ControlEvent {
    /** The clock has advanced; delivered every few tens of milliseconds. */
    record Tick() implements ControlEvent {}

    /**
     * The platform's log was read.
     *
     * @param entries records in ascending order of offset; may be empty
     * @param oldestOffset offset of the oldest record that the log still retains
     * @param endOffset offset of the newest record in the log, {@link LogOffset#NONE} if it is empty
     */
    record LogRead(List<LogEntry> entries, LogOffset oldestOffset, LogOffset endOffset) implements ControlEvent {}

    /** A read from or an append to the platform's log failed or timed out. */
    record LogUnavailable() implements ControlEvent {}

    /**
     * An append provably did not take effect.
     *
     * @param sequence sequence number of the {@link ControlAction.Append}
     */
    record AppendRefused(long sequence) implements ControlEvent {}

    /**
     * The platform's list of VMs was read; the list may lag behind the actual state.
     *
     * @param live VMs listed as live
     * @param leaving VMs listed as about to leave
     */
    record VmListRead(List<VmId> live, List<VmId> leaving) implements ControlEvent {}

    /**
     * A message from another entry VM arrived.
     *
     * @param sender process that sent the message
     * @param message the message received
     */
    record PeerMessageReceived(VmStart sender, PeerMessage message) implements ControlEvent {}

    /**
     * A server that checks tokens answered an order.
     *
     * @param server server that answered
     * @param sequence sequence number of the order
     * @param accepted whether the order took effect; if not, the server has seen a higher token
     */
    record ServerOrderAnswered(ServerId server, long sequence, boolean accepted) implements ControlEvent {}

    /**
     * An order could not be delivered, or its answer was lost; the order may have taken effect.
     *
     * @param server server that the order was addressed to
     * @param sequence sequence number of the order
     */
    record ServerOrderFailed(ServerId server, long sequence) implements ControlEvent {}

    /**
     * Local traffic observed the condition of a server that this VM dispatches for. A single failed connection
     * is not reported as a condition of the server; new connections are tried first.
     *
     * @param server server that was observed
     * @param condition its condition
     */
    record ServerObserved(ServerId server, ServerCondition condition) implements ControlEvent {}

    /**
     * No local request is in flight any more for the dispatchers and owners that the plan of a view removed.
     *
     * @param viewNumber {@link ControlView#number} of the view whose removals are complete
     */
    record ViewDrained(long viewNumber) implements ControlEvent {}

    /**
     * Local traffic measured the load of the servers that this VM dispatches for.
     *
     * @param load one entry for each dispatched server
     */
    record LoadMeasured(List<ServerLoad> load) implements ControlEvent {}

    /** The operator or the platform asked this VM to leave; the VM hands over its work before it leaves. */
    record LeaveRequested() implements ControlEvent {}
}
