package org.lacewingthread.daemon.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.id.ServerId;
import org.xnio.XnioIoThread;

/**
 * Health probes and cancellations for one backend server. A probe always opens a new connection, so
 * that it tells whether new connections work while an old one is silent. Confined to one I/O thread.
 */
public final class HealthProber {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STATUS_OK = 200;
    private static final long CANCEL_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_PENDING_CANCELS = 4;

    private final ServerId server;
    private final BackendConnectionPool connections;
    private final XnioIoThread ioThread;
    private long nextProbeNumber;
    private int pendingCancels;

    /** Creates probes over a server's connections. */
    public HealthProber(ServerId server, BackendConnectionPool connections, XnioIoThread ioThread) {
        this.server = server;
        this.connections = connections;
        this.ioThread = ioThread;
    }

    /**
     * Sends one probe.
     *
     * @param timeoutMillis how long to wait for its answer
     * @param onResult takes the condition that the server states, or empty if there was no answer
     */
    public void sendProbe(long timeoutMillis, Consumer<Optional<ServerCondition>> onResult) {
        String id = "probe-" + server + "-" + nextProbeNumber++;
        BackendRequest call = new BackendRequest(id, "GET", "/.lacewingthread/health", List.of(), new byte[0], false);
        BufferedRequest.send(
                connections,
                ioThread,
                call,
                true,
                () -> true,
                timeoutMillis,
                result -> onResult.accept(parseCondition(result)));
    }

    private static Optional<ServerCondition> parseCondition(BufferedRequest.Result result) {
        if (!result.isAnswered() || result.status() != STATUS_OK) {
            return Optional.empty();
        }
        try {
            JsonNode body = JSON.readTree(result.body());
            return Optional.of(
                    switch (body == null ? "" : body.path("state").asText()) {
                        case "cold" -> ServerCondition.COLD;
                        case "leaving" -> ServerCondition.LEAVING;
                        default -> ServerCondition.REACHABLE;
                    });
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Asks the server to give up on a request; a hint that may be lost. */
    public void cancel(String requestId) {
        if (pendingCancels >= MAX_PENDING_CANCELS) {
            return;
        }
        pendingCancels++;
        String path = "/.lacewingthread/cancel/" + requestId;
        BackendRequest call = new BackendRequest("cancel-" + requestId, "POST", path, List.of(), new byte[0], false);
        BufferedRequest.send(
                connections, ioThread, call, false, () -> true, CANCEL_TIMEOUT_MILLIS, result -> pendingCancels--);
    }
}
