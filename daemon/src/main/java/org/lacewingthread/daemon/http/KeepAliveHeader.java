package org.lacewingthread.daemon.http;

import java.util.OptionalLong;

/** The Keep-Alive header of a response, in which a peer states how long it keeps an idle connection. */
final class KeepAliveHeader {
    static final String NAME = "keep-alive";

    /** Subtracted from the idle timeout announced by a peer, so that it doesn't close while a request is on its way. */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String TIMEOUT_PARAMETER = "timeout=";
    private static final int MAX_DIGITS = 7;

    private KeepAliveHeader() {}

    /**
     * Returns how long a connection may stay idle, in milliseconds.
     *
     * @param value value of the header; null if the response has none
     * @return the announced timeout less a margin; empty if none was announced
     */
    static OptionalLong idleLimitMillis(String value) {
        int at = value == null ? -1 : value.indexOf(TIMEOUT_PARAMETER);
        if (at < 0) {
            return OptionalLong.empty();
        }
        String digits = value.substring(at + TIMEOUT_PARAMETER.length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > MAX_DIGITS) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(0, Long.parseLong(digits) * MILLIS_PER_SECOND - IDLE_MARGIN_MILLIS));
    }
}
