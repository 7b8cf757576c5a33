package org.lacewingthread.core.log;

import org.lacewingthread.core.id.WriterId;

/**
 * Identifies a record's writer, so that the fold can drop a record that was appended twice.
 *
 * @param writer the writing process
 * @param sequence counts the writer's records from 0; an append that is tried again keeps its number
 * @param author the person or VM named in the audit trail
 * @param writtenAtEpochMillis the writer's wall clock; for the audit trail only, never compared
 */
public record RecordHeader(WriterId writer, long sequence, String author, long writtenAtEpochMillis) {
    /** Checks that the sequence is not negative. */
    public RecordHeader {
        if (writer == null || author == null) {
            throw new IllegalArgumentException("record header needs a writer and an author");
        }
        if (sequence < 0) {
            throw new IllegalArgumentException("sequence " + sequence + " of writer \"" + writer + "\" is negative");
        }
    }
}
