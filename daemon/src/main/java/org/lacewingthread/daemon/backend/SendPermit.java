package org.lacewingthread.daemon.backend;

import java.util.List;
import org.lacewingthread.daemon.exchange.HeaderField;

/**
 * Permission to send a request now, granted right before its first byte is written.
 *
 * @param headers header fields that depend on the time of sending, such as deadlines and the fencing token
 */
public record SendPermit(List<HeaderField> headers) {
    /** Copies the header fields. */
    public SendPermit {
        headers = List.copyOf(headers);
    }
}
