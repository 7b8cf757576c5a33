package org.lacewingthread.daemon.backend;

import java.util.List;
import org.lacewingthread.daemon.exchange.HeaderField;

/**
 * Leave to send a request now, given right before its first byte is written.
 *
 * @param headers header fields that depend on the moment of sending, such as deadlines and the token
 */
public record SendPermit(List<HeaderField> headers) {
    /** Copies the headers. */
    public SendPermit {
        headers = List.copyOf(headers);
    }
}
