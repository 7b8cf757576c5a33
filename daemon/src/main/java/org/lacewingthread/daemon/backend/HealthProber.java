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
 * Sends health probes and cancellations to one backend server. A probe always opens a new connection, so
 * that it detects whether the server still accepts connections while an existing one gives no response.
 * Confined to one I/O thread.
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

    /** Creates a prober that uses a server's connection pool. */
    public HealthProber(ServerId server, BackendConnectionPool connections, XnioIoThread ioThread) {
        this.server = server;
        this.connections = connections;
        this.ioThread = ioThread;
    }

    /**
     * Sends a probe.
     *
     * @param timeoutMillis response timeout
     * @param onResult receives the condition that the server reports, or empty if there was no valid
     *     response with status 200
     */
    public void sendProbe(long timeoutMillis, Consumer<Optional<ServerCondition>> onResult) {
        String id = "probe-" + server + "-" + nextProbeNumber++;
        BackendRequest request =
                new BackendRequest(id, "GET", "/.lacewingthread/health", List.of(), new byte[0], false);
        BufferedRequest.send(
                connections,
                ioThread,
                request,
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

    /**
     * Asks the server to abandon a request. Best effort: the cancellation is dropped if too many others are
     * unanswered, and it may be lost.
     */
    public void cancel(String requestId) {
        if (pendingCancels >= MAX_PENDING_CANCELS) {
            return;
        }
        pendingCancels++;
        String path = "/.lacewingthread/cancel/" + requestId;
        BackendRequest request = new BackendRequest("cancel-" + requestId, "POST", path, List.of(), new byte[0], false);
        BufferedRequest.send(
                connections, ioThread, request, false, () -> true, CANCEL_TIMEOUT_MILLIS, result -> pendingCancels--);
    }
}
