package org.lacewingthread.daemon.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Sends the orders of a leader to backend servers that check fencing tokens. At most one order for each
 * server is unanswered at a time; a further one fails without being sent.
 *
 * <pre>{@code
 * ServerOrderSender sender = new ServerOrderSender(worker, clock, listener);
 * sender.send(server, order, deadlineMillis); // the listener is called once, on an I/O thread
 * }</pre>
 *
 * <p>An order whose deadline has passed once its connection is ready is dropped and reported as failed, so
 * that a process that was paused does not send an order decided before the pause. Thread-safe.
 */
public final class ServerOrderSender {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;
    private static final long RENEW_TIMEOUT_MILLIS = 1_000;
    private static final long RELEASE_TIMEOUT_MILLIS = 10_000;

    private final XnioWorker worker;
    private final LongSupplier clockMillis;
    private final Listener listener;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final Map<ServerId, ServerOrderChannel> channels = new ConcurrentHashMap<>();

    /** Receives the outcomes of orders. Called on I/O threads; must not block. */
    public interface Listener {
        /** Called when the server has accepted or rejected the order. */
        void answered(ServerId server, long sequence, boolean accepted);

        /** Called if there is no valid response. The order may have taken effect. */
        void failed(ServerId server, long sequence);
    }

    /** Creates a sender that uses the I/O threads of a worker and a monotonic clock in milliseconds. */
    public ServerOrderSender(XnioWorker worker, LongSupplier clockMillis, Listener listener) {
        this.worker = worker;
        this.clockMillis = clockMillis;
        this.listener = listener;
    }

    /**
     * Sends an order asynchronously.
     *
     * @param server backend server to send to
     * @param order order to send
     * @param deadlineMillis monotonic time from which on the order must not be sent
     */
    public void send(ServerSpec server, ServerOrder order, long deadlineMillis) {
        ServerOrderChannel channel = channels.compute(server.id(), (id, existing) -> {
            boolean reusable = existing != null && existing.server.equals(server);
            return reusable ? existing : new ServerOrderChannel(server, worker.getIoThread());
        });
        channel.ioThread.execute(() -> channel.send(order, deadlineMillis));
    }

    /** Sends the orders of one server, one at a time. Confined to one I/O thread. */
    private final class ServerOrderChannel {
        private final ServerSpec server;
        private final XnioIoThread ioThread;
        private final BackendConnectionPool connections;
        private boolean awaitingAnswer;

        ServerOrderChannel(ServerSpec server, XnioIoThread ioThread) {
            this.server = server;
            this.ioThread = ioThread;
            this.connections = new BackendConnectionPool(
                    server, BackendConnectionPool.Limits.forOrders(), ioThread, buffers, clockMillis);
        }

        void send(ServerOrder order, long deadlineMillis) {
            if (awaitingAnswer) {
                listener.failed(server.id(), order.sequence());
                return;
            }
            awaitingAnswer = true;
            BufferedRequest.send(
                    connections,
                    ioThread,
                    toRequest(order),
                    false,
                    () -> clockMillis.getAsLong() < deadlineMillis,
                    order instanceof ServerOrder.Renew ? RENEW_TIMEOUT_MILLIS : RELEASE_TIMEOUT_MILLIS,
                    result -> onResult(order, result));
        }

        private void onResult(ServerOrder order, BufferedRequest.Result result) {
            awaitingAnswer = false;
            boolean executedOrRejected = result.isAnswered()
                    && (result.status() == STATUS_OK || result.status() == STATUS_CONFLICT)
                    && sequenceOf(result.body()) == order.sequence();
            if (executedOrRejected) {
                listener.answered(server.id(), order.sequence(), result.status() == STATUS_OK);
            } else {
                listener.failed(server.id(), order.sequence());
            }
        }
    }

    private static long sequenceOf(byte[] body) {
        try {
            JsonNode response = JSON.readTree(body);
            return response == null ? -1 : response.path("sequence").asLong(-1);
        } catch (IOException e) {
            return -1;
        }
    }

    private static BackendRequest toRequest(ServerOrder order) {
        String id = "order-" + order.server() + "-" + order.sequence();
        List<HeaderField> headers = List.of(new HeaderField("Content-Type", "application/json"));
        if (order instanceof ServerOrder.Renew) {
            return new BackendRequest(id, "PUT", "/.lacewingthread/lease", headers, encode(order), false);
        }
        return new BackendRequest(id, "POST", "/.lacewingthread/release", headers, encode(order), false);
    }

    /** Returns the JSON body of the request that carries an order. */
    public static byte[] encode(ServerOrder order) {
        return order instanceof ServerOrder.Renew renew
                ? toJsonBytes(bodyOf(renew))
                : toJsonBytes(bodyOf((ServerOrder.Release) order));
    }

    private static Map<String, Object> bodyOf(ServerOrder.Renew renew) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("sequence", renew.sequence());
        body.put("token", renew.token().toString());
        body.put("leaseMillis", renew.leaseMillis());
        body.put("startByMillis", renew.startByMillis());
        body.put("shards", GrantedShards.of(renew.shards()));
        return body;
    }

    private static Map<String, Object> bodyOf(ServerOrder.Release release) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("sequence", release.sequence());
        body.put("token", release.token().toString());
        body.put("shards", release.shards().stream().map(ShardId::toString).toList());
        return body;
    }

    private static byte[] toJsonBytes(Map<String, Object> body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the body of an order as JSON", e);
        }
    }
}
