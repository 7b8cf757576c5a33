package org.lacewingthread.daemon.operator.publish;

import java.util.ArrayList;
import java.util.List;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.control.AuditLine;
import org.lacewingthread.core.log.ApplyResult;
import org.lacewingthread.core.log.AuditTrail;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ReplicaState;

/**
 * Collects the audit trail and the revisions of the configuration while a reader replays the log. It
 * reaches back to the first record, or to the snapshot that the reader started from.
 *
 * <pre>{@code
 * LogHistory history = new LogHistory();
 * new LogReader(log, format, history).readToEnd();
 * history.audit().forEach(this::print);
 * }</pre>
 */
public final class LogHistory implements LogReader.Listener {
    private final List<AuditLine> audit = new ArrayList<>();
    private final List<Revision> revisions = new ArrayList<>();

    /**
     * One published configuration.
     *
     * @param line its audit line; its offset is the revision if it was accepted
     * @param configuration the configuration
     */
    public record Revision(AuditLine line, RoutingConfiguration configuration) {}

    @Override
    public void applied(ReplicaState before, LogEntry entry, ApplyResult result) {
        AuditTrail.describe(before, entry, result).ifPresent(line -> add(line, entry.body()));
    }

    private void add(AuditLine line, LogRecord body) {
        audit.add(line);
        if (body instanceof LogRecord.ConfigurationPublished published) {
            revisions.add(new Revision(line, published.configuration()));
        }
    }

    /** Returns a line for every record, in the order of the log. */
    public List<AuditLine> audit() {
        return List.copyOf(audit);
    }

    /** Returns every configuration that was published, accepted or not, in the order of the log. */
    public List<Revision> revisions() {
        return List.copyOf(revisions);
    }
}
