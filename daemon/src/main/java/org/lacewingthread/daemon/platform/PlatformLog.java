package org.lacewingthread.daemon.platform;

import org.lacewingthread.core.id.LogOffset;

/** The platform's append-only log. Calls block until they complete or the timeout of the implementation expires. */
public interface PlatformLog {
    /**
     * Appends one record.
     *
     * @param record the encoded record
     * @return offset at which the record was appended
     * @throws LogException.Unavailable if the record was certainly not appended
     * @throws LogException.RateExceeded if the record was rejected because of the append rate limit
     * @throws LogException.OutcomeUnknown if the record may have been appended
     */
    LogOffset append(byte[] record) throws LogException;

    /**
     * Reads records in increasing order of offset.
     *
     * @param from offset of the first record to read
     * @param maxRecords maximum number of records to return
     * @return the records; empty if the offset is beyond the end of the log
     * @throws LogException.Expired if the record at the first offset has expired
     * @throws LogException.Unavailable if the log can't be read
     */
    LogBatch read(LogOffset from, int maxRecords) throws LogException;
}
