package org.lacewingthread.core.registry;

import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/**
 * One backend server as it describes itself.
 *
 * @param start the server and its life
 * @param service service that it belongs to
 * @param host IP address
 * @param port port
 * @param dataCentre where it runs
 * @param slots requests that it runs at the same time
 * @param draining whether it is leaving and takes no new work
 * @param cold whether it is still slow after its start
 */
public record ServerEntry(
        ServerStart start,
        ServiceId service,
        String host,
        int port,
        DataCentreId dataCentre,
        int slots,
        boolean draining,
        boolean cold) {
    /** Checks port and slots. */
    public ServerEntry {
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port " + port + " of server \"" + start + "\" is not valid");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("server \"" + start + "\" has " + slots + " slots; it needs 1 or more");
        }
    }
}
