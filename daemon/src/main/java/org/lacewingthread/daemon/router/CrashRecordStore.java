package org.lacewingthread.daemon.router;

import java.util.function.Consumer;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.RequestFingerprint;

/**
 * Keeps the newest record of each request that crashes servers, so that they outlast all processes. What is stored is
 * passed to {@link Platform.Listener#onStoredCrashRecord}. All methods run on the control thread.
 */
public interface CrashRecordStore {
    /** Stores a record; may fail without notice. */
    void append(CrashRecord known);

    /**
     * Stores the record of a trial, unless another entry VM has stored this trial, whether that was read here or not.
     *
     * @param reserved receives whether the record was certainly stored
     */
    void reserveTrial(CrashRecord withTrial, Consumer<Boolean> reserved);

    /** Deletes the record of a request that no longer crashes servers; may fail without notice. */
    void delete(RequestFingerprint fingerprint);
}
