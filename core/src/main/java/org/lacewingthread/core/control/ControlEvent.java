package org.lacewingthread.core.control;

import java.util.List;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.LogEntry;

/** What happens to one entry VM, as told to {@link EntryVmControl}. */
public sealed interface ControlEvent {
    /** Time has passed; delivered every few tens of milliseconds. */
    record Tick() implements ControlEvent {}

    /**
     * Records read from the platform's log.
     *
     * @param entries records at rising offsets; may be empty
     * @param oldestOffset oldest record that the log still keeps
     * @param endOffset offset of the newest record in the log, {@link LogOffset#NONE} if it is empty
     */
    record LogRead(List<LogEntry> entries, LogOffset oldestOffset, LogOffset endOffset) implements ControlEvent {}

    /** A read or append found the platform's log out or too slow. */
    record LogUnavailable() implements ControlEvent {}

    /**
     * An append provably did not take effect.
     *
     * @param sequence sequence of the {@link ControlAction.Append}
     */
    record AppendRefused(long sequence) implements ControlEvent {}

    /**
     * The platform's list of VMs, which lags.
     *
     * @param live VMs listed as live
     * @param leaving VMs listed as about to leave
     */
    record VmListRead(List<VmId> live, List<VmId> leaving) implements ControlEvent {}

    /**
     * A message from another entry VM.
     *
     * @param sender its process
     * @param message the message
     */
    record PeerMessageReceived(VmStart sender, PeerMessage message) implements ControlEvent {}

    /**
     * A server that checks tokens answered an order.
     *
     * @param server the server
     * @param sequence sequence of the order
     * @param accepted whether the order took effect; otherwise a higher token was seen
     */
    record ServerOrderAnswered(ServerId server, long sequence, boolean accepted) implements ControlEvent {}

    /**
     * An order could not be delivered or its answer was lost; it may have taken effect.
     *
     * @param server the server
     * @param sequence sequence of the order
     */
    record ServerOrderFailed(ServerId server, long sequence) implements ControlEvent {}

    /**
     * Local traffic's view of a server that this VM dispatches for. One bad connection is no condition
     * of a server: new connections were tried first.
     *
     * @param server the server
     * @param condition what was observed
     */
    record ServerObserved(ServerId server, ServerCondition condition) implements ControlEvent {}

    /**
     * Local traffic has no request in flight any more for what a plan removed.
     *
     * @param view number of the {@link ControlView} whose removals are complete
     */
    record ViewDrained(long view) implements ControlEvent {}

    /**
     * Load that local traffic measured.
     *
     * @param load one entry a dispatched server
     */
    record LoadMeasured(List<ServerLoad> load) implements ControlEvent {}

    /** The operator or the platform asked this VM to leave; it hands over its work first. */
    record LeaveRequested() implements ControlEvent {}
}
