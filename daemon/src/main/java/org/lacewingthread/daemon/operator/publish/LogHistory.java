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
 * Collects the audit trail and the configuration revisions while a reader replays the log. The history starts at the
 * first record or, if the reader started from a snapshot, at the first record that the snapshot does not cover.
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
     * @param line audit line of the record; its offset is the revision if the configuration was accepted
     * @param configuration content of the configuration
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

    /** Returns the audit lines of the records read, in the order of the log. */
    public List<AuditLine> audit() {
        return List.copyOf(audit);
    }

    /** Returns all published configurations, both accepted and rejected ones, in the order of the log. */
    public List<Revision> revisions() {
        return List.copyOf(revisions);
    }
}
