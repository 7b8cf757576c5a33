package org.lacewingthread.daemon.exchange;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.id.ShardId;

/**
 * A caller's request, whole, with what the selectors told about it.
 *
 * @param requestId unique id; answers are matched by it
 * @param shard shard of its key
 * @param keyHash hash of its key
 * @param requestClass its class
 * @param method HTTP method
 * @param path path with query
 * @param headers header fields for the backend server
 * @param body the whole body; not to be changed
 * @param deadlineMillis monotonic time of this VM after which the caller no longer waits
 * @param idempotencyKey key under which the caller may repeat the request
 * @param hops how many entry VMs have relayed it
 */
@SuppressWarnings("ArrayRecordComponent")
public record RoutedRequest(
        String requestId,
        ShardId shard,
        long keyHash,
        RequestClass requestClass,
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        long deadlineMillis,
        Optional<String> idempotencyKey,
        int hops) {
    /** Copies the headers. */
    public RoutedRequest {
        headers = List.copyOf(headers);
    }
}
