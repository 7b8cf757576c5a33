package org.lacewingthread.core.config;

import java.util.List;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;

/**
 * One backend server as operators declare it.
 *
 * @param id the server
 * @param dataCentre where it stands
 * @param host its IP address
 * @param port its HTTP port
 * @param labels labels that application groups select on
 * @param slots requests that it runs at once; at least 1
 * @param maxConnections connections that it accepts; at least 2
 * @param checksTokens whether it refuses orders below the highest fencing token it has seen
 * @param recognisesIdempotencyKeys whether it answers a repeated idempotency key without a second run
 */
public record ServerSpec(
        ServerId id,
        DataCentreId dataCentre,
        String host,
        int port,
        List<Label> labels,
        int slots,
        int maxConnections,
        boolean checksTokens,
        boolean recognisesIdempotencyKeys) {
    private static final int MAX_PORT = 65_535;

    /** Checks ranges. */
    public ServerSpec {
        if (id == null || dataCentre == null || host == null || host.isBlank()) {
            throw new IllegalArgumentException("server \"" + id + "\" needs an id, a data centre and a host");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + " of server \"" + id + "\" is not in 1 to 65535");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots " + slots + " of server \"" + id + "\" is below 1");
        }
        if (maxConnections < 2) {
            throw new IllegalArgumentException(
                    "maxConnections " + maxConnections + " of server \"" + id + "\" is below 2");
        }
        labels = labels == null ? List.of() : List.copyOf(labels);
    }

    /** Returns whether another specification means the same process: data centre, address and token checking agree. */
    public boolean isSameProcessAs(ServerSpec other) {
        return dataCentre.equals(other.dataCentre)
                && host.equals(other.host)
                && port == other.port
                && checksTokens == other.checksTokens;
    }
}
