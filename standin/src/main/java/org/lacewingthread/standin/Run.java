package org.lacewingthread.standin;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One run of a request on a backend server. Times are those of the machine's monotonic clock.
 *
 * @param server the server
 * @param requestId id of the request, or null if it had none
 * @param idempotencyKey its idempotency key, or null
 * @param shard its shard, or null
 * @param token its fencing token, or null
 * @param method its HTTP method
 * @param path its path with query
 * @param startMicros when it started
 * @param endMicros when it ended, -1 while it runs
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
    /** {@link #endMicros} of a run that has not ended. */
    public static final long RUNNING = -1;

    /** Returns whether the run has ended. */
    public boolean hasEnded() {
        return endMicros != RUNNING;
    }

    Run endedAt(long micros) {
        return new Run(server, requestId, idempotencyKey, shard, token, method, path, startMicros, micros);
    }
}
