package org.lacewingthread.core.log;

import org.lacewingthread.core.id.WriterId;

/**
 * Identifies a record by its writer and sequence number, so that a replica can ignore duplicates.
 *
 * @param writer process that wrote the record
 * @param sequence sequence number of the record, counted from 0 for each writer; a retried append keeps it
 * @param author person or VM named in the audit trail
 * @param writtenAtEpochMillis time on the writer's wall clock, in milliseconds since the epoch; only for the
 *     audit trail, never compared
 */
public record RecordHeader(WriterId writer, long sequence, String author, long writtenAtEpochMillis) {
    /** Creates the header; throws IllegalArgumentException if a name is null or the sequence is negative. */
    public RecordHeader {
        if (writer == null || author == null) {
            throw new IllegalArgumentException("record header needs a writer and an author");
        }
        if (sequence < 0) {
            throw new IllegalArgumentException("sequence " + sequence + " of writer \"" + writer + "\" is negative");
        }
    }
}
