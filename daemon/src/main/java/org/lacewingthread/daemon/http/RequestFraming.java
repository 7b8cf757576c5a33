package org.lacewingthread.daemon.http;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Whether the end of a request's body is known, by its Transfer-Encoding (RFC 9112, sections 6.1 and 6.3). A request whose end
 * is not known must be refused and its connection closed: what follows the head may be its body or another request, and the
 * next server on the way may see it differently.
 *
 * <pre>{@code
 * RequestFraming.of(headers.getAll("Transfer-Encoding"), true).isKnown(); // true for none, or "chunked" alone
 * }</pre>
 */
public enum RequestFraming {
    /** The body has a length, is chunked, or there is none. */
    KNOWN(200, "the end of the body is known"),
    /** The body is chunked, but coded in another way before that. */
    CODING_UNKNOWN(501, "Transfer-Encoding names a coding beside \"chunked\"; send the body without it"),
    /** The last transfer coding does not tell where the body ends. */
    END_UNKNOWN(400, "Transfer-Encoding does not tell where the body ends; send \"chunked\" alone, with HTTP/1.1");

    private static final String CHUNKED = "chunked";

    private final int httpStatus;
    private final String reason;

    RequestFraming(int httpStatus, String reason) {
        this.httpStatus = httpStatus;
        this.reason = reason;
    }

    /**
     * Returns the framing of a request.
     *
     * @param transferEncodings values of all its Transfer-Encoding fields, in order
     * @param http11 whether it is of HTTP/1.1; earlier versions have no transfer codings
     */
    public static RequestFraming of(List<String> transferEncodings, boolean http11) {
        if (transferEncodings.isEmpty()) {
            return KNOWN;
        }
        List<String> codings = transferEncodings.stream()
                .flatMap(value -> Stream.of(value.split(",", -1)))
                .map(coding -> coding.strip().toLowerCase(Locale.ROOT))
                .toList();
        int last = codings.size() - 1;
        if (!http11 || codings.indexOf(CHUNKED) != last) {
            return END_UNKNOWN;
        }
        return last == 0 ? KNOWN : CODING_UNKNOWN;
    }

    /** Returns whether the end of the body is known. */
    public boolean isKnown() {
        return this == KNOWN;
    }

    /** Returns the HTTP status with which a request is refused whose end is not known. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns what is wrong, and what to send instead. */
    public String reason() {
        return reason;
    }
}
