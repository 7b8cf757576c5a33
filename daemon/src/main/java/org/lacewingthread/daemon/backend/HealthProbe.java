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
public final class HealthProbe {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STATUS_OK = 200;
    private static final long CANCEL_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_CANCELS = 4;

    private final ServerId server;
    private final BackendConnections connections;
    private final XnioIoThread ioThread;
    private long probes;
    private int cancels;

    /** Creates probes over a server's connections. */
    public HealthProbe(ServerId server, BackendConnections connections, XnioIoThread ioThread) {
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
    public void start(long timeoutMillis, Consumer<Optional<ServerCondition>> onResult) {
        String id = "probe-" + server + "-" + probes++;
        BackendCall call = new BackendCall(id, "GET", "/.lacewingthread/health", List.of(), new byte[0], false);
        ShortCall.send(
                connections,
                ioThread,
                call,
                true,
                () -> true,
                timeoutMillis,
                result -> onResult.accept(conditionOf(result)));
    }

    private static Optional<ServerCondition> conditionOf(ShortCall.Result result) {
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
        if (cancels >= MAX_CANCELS) {
            return;
        }
        cancels++;
        String path = "/.lacewingthread/cancel/" + requestId;
        BackendCall call = new BackendCall("cancel-" + requestId, "POST", path, List.of(), new byte[0], false);
        ShortCall.send(connections, ioThread, call, false, () -> true, CANCEL_TIMEOUT_MILLIS, result -> cancels--);
    }
}
