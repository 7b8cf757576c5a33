package org.lacewingthread.daemon.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A response, or other bytes of a peer, that counted for no request.
 *
 * @param expectedId id of the request in progress; empty if there was none or it has none
 * @param receivedId ids in the response, separated by commas; empty if it had none
 * @param status status of the response; empty if the bytes were not read as one
 * @param reason why it didn't count
 */
public record DroppedResponse(
        Optional<String> expectedId, Optional<String> receivedId, OptionalInt status, Reason reason) {
    /** Why a response didn't count. */
    public enum Reason {
        /** It carries the id of another request, or several ids. */
        OTHER_ID,
        /** It carries no id, although the request has one. */
        NO_ID,
        /** It carries a header that only answers to requests of another kind have. */
        OTHER_KIND,
        /** It followed a whole response. */
        SURPLUS_BYTES,
        /** No request was in progress, or the request was not yet written. */
        UNASKED,
        /** It is not a valid HTTP response. */
        MALFORMED
    }

    /** Describes a response; {@code due} and {@code response} are null if there is none. */
    static DroppedResponse of(OutboundConnection.EchoedHeader due, HttpResponse response, Reason reason) {
        boolean readable = response != null && response.decoderResult().isSuccess();
        List<String> ids =
                due == null || response == null ? List.of() : response.headers().getAll(due.name());
        return new DroppedResponse(
                Optional.ofNullable(due).map(OutboundConnection.EchoedHeader::value),
                ids.isEmpty() ? Optional.empty() : Optional.of(String.join(",", ids)),
                readable ? OptionalInt.of(response.status().code()) : OptionalInt.empty(),
                reason);
    }
}
