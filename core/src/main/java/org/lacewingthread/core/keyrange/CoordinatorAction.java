package org.lacewingthread.core.keyrange;

import java.util.Optional;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/** What {@link RangeCoordinator} wants done. */
public sealed interface CoordinatorAction {
    /**
     * Append a table to the store, provided that nothing was appended since.
     *
     * @param table new table
     * @param expectedEnd end of the log that the table builds on
     */
    record RecordTable(RangeTable table, long expectedEnd) implements CoordinatorAction {}

    /**
     * Grant a range to a server, or renew the grant.
     *
     * @param call identifies the answer
     * @param service service of the range
     * @param server receiver
     * @param range keys
     * @param fence orders grants of a key; a server refuses lower ones than it has seen
     * @param holdMillis how long the server may run requests, from the call's arrival
     * @param handover token from the former owner, which keeps the keys warm
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
     * Take a range back; the server answers once its running work has ended.
     *
     * @param call identifies the answer
     * @param service service of the range
     * @param server receiver
     * @param range keys
     * @param fence fence of the grant that ends
     */
    record Release(long call, ServiceId service, ServerStart server, KeyRange range, long fence)
            implements CoordinatorAction {}
}
