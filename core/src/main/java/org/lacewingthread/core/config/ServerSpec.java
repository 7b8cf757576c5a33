package org.lacewingthread.core.config;

import java.util.List;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;

/**
 * A backend server as declared by operators.
 *
 * @param id id of the server
 * @param dataCentre data centre that the server runs in
 * @param host IP address of the server
 * @param port HTTP port of the server
 * @param labels labels that application groups select on
 * @param slots number of requests that the server runs concurrently; at least 1
 * @param maxConnections number of connections that the server accepts; at least 2
 * @param checksTokens whether the server refuses orders with a token below the highest fencing token it has seen
 * @param recognisesIdempotencyKeys whether the server answers a repeated idempotency key without running the request
 *     again
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

    /**
     * Checks the values and copies the list.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
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

    /** Returns whether both specifications denote the same process: equal data centre, address and token checking. */
    public boolean isSameProcessAs(ServerSpec other) {
        return dataCentre.equals(other.dataCentre)
                && host.equals(other.host)
                && port == other.port
                && checksTokens == other.checksTokens;
    }
}
