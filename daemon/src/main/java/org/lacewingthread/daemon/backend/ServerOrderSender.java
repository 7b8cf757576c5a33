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
 * Sends a leader's orders to backend servers that check tokens, at most one unanswered at a time for
 * each server.
 *
 * <pre>{@code
 * ServerOrderSender sender = new ServerOrderSender(worker, clock, listener);
 * sender.send(server, order, deadlineMillis); // one answered or failed follows on an I/O thread
 * }</pre>
 *
 * <p>An order is dropped, and reported as failed, if its deadline has passed when its connection is
 * ready: a process that was paused acts on nothing that it decided before the pause. Safe for use by
 * several threads.
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

    /** Takes what became of orders; called on I/O threads, must not block. */
    public interface Listener {
        /** The server answered. */
        void answered(ServerId server, long sequence, boolean accepted);

        /** There is no answer; the order may have taken effect. */
        void failed(ServerId server, long sequence);
    }

    /** Creates a sender. */
    public ServerOrderSender(XnioWorker worker, LongSupplier clockMillis, Listener listener) {
        this.worker = worker;
        this.clockMillis = clockMillis;
        this.listener = listener;
    }

    /**
     * Sends an order.
     *
     * @param server the server addressed
     * @param order the order
     * @param deadlineMillis monotonic time after which it must not be sent
     */
    public void send(ServerSpec server, ServerOrder order, long deadlineMillis) {
        ServerOrderChannel lane = channels.compute(server.id(), (id, known) -> {
            boolean usable = known != null && known.server.equals(server);
            return usable ? known : new ServerOrderChannel(server, worker.getIoThread());
        });
        lane.ioThread.execute(() -> lane.send(order, deadlineMillis));
    }

    /** Orders to one server; confined to one I/O thread. */
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
            boolean decided = result.isAnswered()
                    && (result.status() == STATUS_OK || result.status() == STATUS_CONFLICT)
                    && sequenceOf(result.body()) == order.sequence();
            if (decided) {
                listener.answered(server.id(), order.sequence(), result.status() == STATUS_OK);
            } else {
                listener.failed(server.id(), order.sequence());
            }
        }
    }

    private static long sequenceOf(byte[] body) {
        try {
            JsonNode answer = JSON.readTree(body);
            return answer == null ? -1 : answer.path("sequence").asLong(-1);
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

    /** Returns the body in which an order is sent. */
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
            throw new IllegalStateException("an order has no JSON form", e);
        }
    }
}
