package org.lacewingthread.daemon.exchange;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.id.ShardId;

/**
 * A caller's complete request together with its shard, key hash and class as found by the request selectors.
 *
 * @param requestId unique id; responses are matched to requests by it
 * @param shard shard of the key as known to the entry VM that received the request from the caller
 * @param keyHash hash of the key
 * @param requestClass class that decides whether the request may be repeated or hedged
 * @param method HTTP method
 * @param path path and query string
 * @param headers header fields to send to the backend server
 * @param body the complete body; must not be modified
 * @param deadlineMillis time on this VM's monotonic clock after which the caller no longer waits
 * @param idempotencyKey key that identifies repeats of the request, if the caller sent one
 * @param hops number of times the request was relayed between entry VMs
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
    /** Copies the list of headers. */
    public RoutedRequest {
        headers = List.copyOf(headers);
    }
}
