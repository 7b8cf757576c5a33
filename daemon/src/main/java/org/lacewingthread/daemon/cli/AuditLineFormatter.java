package org.lacewingthread.daemon.cli;

import java.time.Instant;
import org.lacewingthread.core.control.AuditLine;

/** Formats entries of the audit trail as text. */
final class AuditLineFormatter {
    private AuditLineFormatter() {}

    /** Returns an audit entry as one line of text, with its time in UTC. */
    static String format(AuditLine line) {
        String result = line.accepted() ? "accepted" : "rejected";
        Instant written = Instant.ofEpochMilli(line.writtenAtEpochMillis());
        return line.offset() + " " + written + " " + line.author() + " " + line.kind() + " " + result + ": "
                + line.detail();
    }
}
