package org.lacewingthread.core.registry;

import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/**
 * The entry of a backend server in the platform's registry, as the server itself describes it.
 *
 * @param start id of the server and start time of its process
 * @param service service to which the server belongs
 * @param host IP address
 * @param port TCP port of {@code host} that takes requests
 * @param dataCentre data centre in which the server runs
 * @param slots number of requests that the server runs concurrently
 * @param draining whether the server is leaving and takes no new requests
 * @param cold whether the server still runs slower than usual after its start
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
    /**
     * Checks port and slots.
     *
     * @throws IllegalArgumentException if the port is not in 1 to 65,535 or there is no slot
     */
    public ServerEntry {
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port " + port + " of server \"" + start + "\" is not in 1 to 65535");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("server \"" + start + "\" has " + slots + " slots; it needs at least 1");
        }
    }

    /** Returns the same entry of a server that is cold. */
    public ServerEntry asCold() {
        return new ServerEntry(start, service, host, port, dataCentre, slots, draining, true);
    }
}
