package org.lacewingthread.core.control;

import org.lacewingthread.core.id.LogOffset;

/**
 * One change to configuration, membership or ownership, as the audit trail shows it.
 *
 * @param offset the record's offset, or {@link LogOffset#NONE} for a step taken while the log is out
 * @param author who made the change
 * @param writtenAtEpochMillis the author's wall clock
 * @param kind the kind of change
 * @param accepted whether the change took hold
 * @param detail what changed, or why it was rejected
 */
public record AuditLine(
        LogOffset offset, String author, long writtenAtEpochMillis, String kind, boolean accepted, String detail) {}
