package org.lacewingthread.daemon.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.lacewingthread.core.control.AuditLine;

/** Keeps the newest lines of the audit trail for the operator port and writes every line to the process log. */
public final class AuditLog {
    private static final System.Logger LOG = System.getLogger("audit");
    private static final int MAX_LINES = 1_000;

    private final Deque<AuditLine> lines = new ArrayDeque<>();

    /** Logs a line and keeps it, dropping the oldest one above the limit. */
    public synchronized void add(AuditLine line) {
        LOG.log(
                System.Logger.Level.INFO,
                "{0} {1} by {2} at offset {3}: {4}",
                line.kind(),
                line.accepted() ? "accepted" : "rejected",
                line.author(),
                line.offset(),
                line.detail());
        lines.addLast(line);
        if (lines.size() > MAX_LINES) {
            lines.removeFirst();
        }
    }

    /** Returns a copy of the kept lines, oldest first. */
    public synchronized List<AuditLine> lines() {
        return List.copyOf(lines);
    }
}
