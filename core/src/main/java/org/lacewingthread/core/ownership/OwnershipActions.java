package org.lacewingthread.core.ownership;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.log.LogRecord;

/**
 * Actions for the leader to take after one step of the {@link OwnershipCoordinator}.
 *
 * @param plan the new route plan for the entry VMs, if it changed
 * @param records records to append to the log; later inputs show whether they were accepted
 * @param orders orders to send to backend servers that check tokens
 * @param auditNotes moves made while the log is unreachable, for the audit trail
 */
public record OwnershipActions(
        Optional<RoutePlan> plan, List<LogRecord> records, List<ServerOrder> orders, List<String> auditNotes) {
    /** No actions. */
    public static final OwnershipActions NONE = new OwnershipActions(Optional.empty(), List.of(), List.of(), List.of());

    /** Creates the actions from copies of the lists. */
    public OwnershipActions {
        records = List.copyOf(records);
        orders = List.copyOf(orders);
        auditNotes = List.copyOf(auditNotes);
    }
}
