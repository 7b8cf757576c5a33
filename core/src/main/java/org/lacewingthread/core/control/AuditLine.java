package org.lacewingthread.core.control;

import org.lacewingthread.core.id.LogOffset;

/**
 * One line of the audit trail: a change to configuration, membership or ownership.
 *
 * @param offset offset of the record, or {@link LogOffset#NONE} for a change that was not recorded in the log, such as
 *     one made while the log was unavailable
 * @param author person or VM that made the change
 * @param writtenAtEpochMillis time of writing by the author's wall clock, in milliseconds since the epoch; 0 if unknown
 * @param kind kind of change, for example {@code configuration-published}
 * @param accepted whether the change was applied
 * @param detail what changed, or why it was rejected
 */
public record AuditLine(
        LogOffset offset, String author, long writtenAtEpochMillis, String kind, boolean accepted, String detail) {}
