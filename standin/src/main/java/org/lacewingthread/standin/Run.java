package org.lacewingthread.standin;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * Journal entry of one run of a request on a backend server. Times are those of the machine's monotonic
 * clock.
 *
 * @param server name of the server
 * @param requestId request id, or null
 * @param idempotencyKey idempotency key, or null
 * @param shard shard in the form {@code application/index}, or null
 * @param token fencing token, or null
 * @param method HTTP method
 * @param path path with query string
 * @param startMicros when the run started
 * @param endMicros when the run ended, {@link #RUNNING} before that
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Run(
        String server,
        String requestId,
        String idempotencyKey,
        String shard,
        String token,
        String method,
        String path,
        long startMicros,
        long endMicros) {
    /** Value of {@link #endMicros} of a run that has not ended. */
    public static final long RUNNING = -1;

    /** Returns whether the run has ended. */
    public boolean hasEnded() {
        return endMicros != RUNNING;
    }

    /** Returns a copy that ended at a time. */
    Run endedAt(long micros) {
        return new Run(server, requestId, idempotencyKey, shard, token, method, path, startMicros, micros);
    }
}
