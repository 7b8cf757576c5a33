package org.lacewingthread.core.traffic;

import java.util.Arrays;

/** HTTP status that promises a caller that its request did not run and never will, so that it may send the request again. */
public enum NotRunStatus {
    /** The request arrived too slowly. */
    REQUEST_TIMEOUT(408),
    /** The request reached a server that does not serve it. */
    MISDIRECTED_REQUEST(421),
    /** The caller sends too many requests. */
    TOO_MANY_REQUESTS(429),
    /** No server takes the request at the moment. */
    SERVICE_UNAVAILABLE(503);

    private final int code;

    NotRunStatus(int code) {
        this.code = code;
    }

    /** Returns the HTTP status code. */
    public int code() {
        return code;
    }

    /** Returns whether a response with this HTTP status code promises that the request did not run. */
    public static boolean includes(int httpStatus) {
        return Arrays.stream(values()).anyMatch(status -> status.code == httpStatus);
    }
}
