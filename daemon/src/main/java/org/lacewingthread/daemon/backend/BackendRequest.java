package org.lacewingthread.daemon.backend;

import java.util.List;
import org.lacewingthread.daemon.exchange.HeaderField;

/**
 * One HTTP request to a backend server.
 *
 * @param requestId id that the answer must repeat
 * @param method HTTP method
 * @param path path with query
 * @param headers end-to-end header fields
 * @param body the whole body; not to be changed
 * @param responseMustRepeatId whether an answer without the id is taken for another request's
 */
@SuppressWarnings("ArrayRecordComponent")
public record BackendRequest(
        String requestId,
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        boolean responseMustRepeatId) {
    /** Copies the headers. */
    public BackendRequest {
        headers = List.copyOf(headers);
    }
}
