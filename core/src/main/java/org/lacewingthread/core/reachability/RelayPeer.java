package org.lacewingthread.core.reachability;

import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmId;

/**
 * An entry VM that reaches servers and sends requests there for entry VMs that don't.
 *
 * @param vm the entry VM
 * @param dataCentre its data centre
 * @param host address that other entry VMs connect to
 * @param port port that other entry VMs connect to
 */
public record RelayPeer(VmId vm, DataCentreId dataCentre, String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks the address. */
    public RelayPeer {
        if (host == null || host.isEmpty() || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException(
                    "entry VM " + vm + " has no valid address: \"" + host + ":" + port + "\"");
        }
    }
}
