package org.lacewingthread.core.keyrange;

import java.util.Optional;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/** A call or an append that {@link RangeCoordinator} asks its caller to carry out. */
public sealed interface CoordinatorAction {
    /**
     * Append a table to the log in the store, on condition that the log still has its expected end.
     *
     * @param table new table
     * @param expectedEnd end of the log after the table from which the new one was derived
     */
    record RecordTable(RangeTable table, long expectedEnd) implements CoordinatorAction {}

    /**
     * Grant a range to a server, or renew the grant.
     *
     * @param call number that {@link RangeCoordinator#onGrantAnswer} takes with the answer
     * @param service service whose keys are granted
     * @param server server that receives the call
     * @param range granted keys
     * @param fence orders the grants of a key; a server refuses a lower fence than it has seen
     * @param holdMillis how long the server may run requests for the keys, from the arrival of the call
     * @param handover token that the former owner returned on its release; keeps the keys warm
     */
    record Grant(
            long call,
            ServiceId service,
            ServerStart server,
            KeyRange range,
            long fence,
            long holdMillis,
            Optional<String> handover)
            implements CoordinatorAction {}

    /**
     * End the hold of a range; the server answers once its running requests for the keys have ended.
     *
     * @param call number that {@link RangeCoordinator#onReleaseAnswer} takes with the answer
     * @param service service whose keys are released
     * @param server server that receives the call
     * @param range released keys
     * @param fence fence of the former owner's newest grant, or a higher one if a former leader sent it
     */
    record Release(long call, ServiceId service, ServerStart server, KeyRange range, long fence)
            implements CoordinatorAction {}
}
