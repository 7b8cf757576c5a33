package org.lacewingthread.core.ownership;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.log.LogRecord;

/**
 * What a leader does next about ownership.
 *
 * @param plan a changed route plan, to be handed to the entry VMs
 * @param records records to append; the next inputs show whether they were accepted
 * @param orders orders to send to backend servers that check tokens
 * @param auditNotes steps taken while the log is out, for the audit trail
 */
public record OwnershipActions(
        Optional<RoutePlan> plan, List<LogRecord> records, List<ServerOrder> orders, List<String> auditNotes) {
    /** Nothing to do. */
    public static final OwnershipActions NONE = new OwnershipActions(Optional.empty(), List.of(), List.of(), List.of());

    /** Copies the lists. */
    public OwnershipActions {
        records = List.copyOf(records);
        orders = List.copyOf(orders);
        auditNotes = List.copyOf(auditNotes);
    }
}
