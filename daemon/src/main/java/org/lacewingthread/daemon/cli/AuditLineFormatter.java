package org.lacewingthread.daemon.cli;

import java.time.Instant;
import org.lacewingthread.core.control.AuditLine;

/** One line of text for each line of the audit trail. */
final class AuditLineFormatter {
    private AuditLineFormatter() {}

    static String format(AuditLine line) {
        String verdict = line.accepted() ? "accepted" : "rejected";
        Instant written = Instant.ofEpochMilli(line.writtenAtEpochMillis());
        return line.offset() + " " + written + " " + line.author() + " " + line.kind() + " " + verdict + ": "
                + line.detail();
    }
}
