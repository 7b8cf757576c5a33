package org.lacewingthread.daemon.platform;

import org.lacewingthread.core.id.LogOffset;

/** Append-only log of the platform. Calls block; each is bounded by the adapter's timeout. */
public interface PlatformLog {
    /**
     * Appends one record.
     *
     * @param record the encoded record
     * @return its offset
     * @throws LogException.Unavailable if the record provably was not appended
     * @throws LogException.RateExceeded if the record was refused because of the append rate
     * @throws LogException.OutcomeUnknown if the record may have been appended
     */
    LogOffset append(byte[] record) throws LogException;

    /**
     * Reads records at rising offsets.
     *
     * @param from first offset wanted
     * @param maxRecords most records to return
     * @throws LogException.Expired if the record at the first offset is no longer kept
     * @throws LogException.Unavailable if the log can't be read
     */
    LogBatch read(LogOffset from, int maxRecords) throws LogException;
}
