package org.lacewingthread.daemon.backend;

import java.util.List;
import org.lacewingthread.daemon.exchange.HeaderField;

/**
 * HTTP request to a backend server.
 *
 * @param requestId request id, sent as a header field that the response repeats
 * @param method HTTP method
 * @param path path with query
 * @param headers end-to-end header fields
 * @param body complete body; must not be modified
 * @param responseMustRepeatId whether a response without the id is rejected as belonging to another request
 */
@SuppressWarnings("ArrayRecordComponent")
public record BackendRequest(
        String requestId,
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        boolean responseMustRepeatId) {
    /** Copies the header fields. */
    public BackendRequest {
        headers = List.copyOf(headers);
    }
}
