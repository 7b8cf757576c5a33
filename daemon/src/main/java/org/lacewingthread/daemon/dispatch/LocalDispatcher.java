package org.lacewingthread.daemon.dispatch;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.core.traffic.IdempotencyRecords;
import org.lacewingthread.core.traffic.ResultCode;
import org.xnio.XnioWorker;

/**
 * Dispatches requests to the backend servers for which the route plan names this VM as dispatcher. Each server
 * has one {@link ServerDispatcher} with its own queue and connections, confined to one I/O thread.
 *
 * <pre>{@code
 * LocalDispatcher dispatcher = new LocalDispatcher(state, worker, clock, settings, replicator, listener, metrics);
 * RequestRouter router = new RequestRouter(state, dispatcher, relays, worker, clock);
 * router.handle(request, sink);
 * }</pre>
 *
 * <p>A request is sent only while the dispatch lease is valid and only to the owner named by the newest plan;
 * both are checked again right before the first byte is written. Requests that this VM may no longer dispatch
 * return to the {@link RequestRouter}.
 */
public final class LocalDispatcher {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long TICK_INTERVAL_MILLIS = 20;
    private static final long LOAD_INTERVAL_MILLIS = 2_000;
    private static final long NO_DISPATCHER_RETRY_MILLIS = 500;

    private final TrafficState state;
    private final XnioWorker worker;
    private final DispatchListener listener;
    private final TrafficMetrics metrics;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final LocalIdempotencyRecords records;
    private final ServerDispatcherContext context;
    private final Map<ServerId, ServerDispatcher> serverDispatchers = new ConcurrentHashMap<>();
    private final AtomicLong reportedViewNumber = new AtomicLong(-1);
    private volatile Consumer<PendingRequest> returnToRouter = pending -> {};

    /**
     * Limits of a dispatcher.
     *
     * @param startByMillis longest time in milliseconds after sending in which a server may start a request
     * @param records limits of the idempotency records
     */
    public record Settings(long startByMillis, IdempotencyRecords.Settings records) {}

    /** Creates a dispatcher that applies every view published to a traffic state. */
    public LocalDispatcher(
            TrafficState state,
            XnioWorker worker,
            LongSupplier clockMillis,
            Settings settings,
            IdempotencyRecordReplicator replicator,
            DispatchListener listener,
            TrafficMetrics metrics) {
        this.state = state;
        this.worker = worker;
        this.listener = listener;
        this.metrics = metrics;
        this.records = new LocalIdempotencyRecords(settings.records(), replicator, clockMillis);
        this.context = new ServerDispatcherContext(
                state,
                clockMillis,
                settings.startByMillis(),
                records,
                listener,
                this::reportDrainedView,
                pending -> returnToRouter.accept(pending));
        state.addPreparation(records::prepareView);
        // Requests are routed by a view as soon as it is published.
        state.addPreparation(this::openServerDispatchers);
        state.addListener(this::onViewPublished);
        worker.getIoThread().executeAtInterval(this::measureLoad, LOAD_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        worker.getIoThread().executeAtInterval(this::tick, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets the router that receives requests which this VM no longer dispatches. */
    void setRouter(Consumer<PendingRequest> router) {
        this.returnToRouter = router;
    }

    /** Queues a request for a server that this VM dispatches for. */
    void submit(PendingRequest pending, ServerId server) {
        ServerDispatcher dispatcher = serverDispatchers.get(server);
        if (dispatcher == null) {
            // "Not run" is certain: the request was given to no dispatcher, so it can't be sent.
            pending.fail(
                    ResultCode.NO_OWNER, NO_DISPATCHER_RETRY_MILLIS, "server \"" + server + "\" is not configured");
            return;
        }
        dispatcher.submit(pending);
    }

    /** Returns copies of the idempotency records of some shards, for the VM that dispatches for them next. */
    public List<IdempotencyRecord> recordsOf(Set<ShardId> shards) {
        return records.copiesOf(shards);
    }

    private void onViewPublished() {
        records.onViewPublished();
        for (ServerDispatcher dispatcher : serverDispatchers.values()) {
            dispatcher.ioThread().execute(dispatcher::onViewPublished);
        }
        reportDrainedView();
    }

    /** Reports the newest view once no server dispatcher has a request in flight on a route that the view removed. */
    private void reportDrainedView() {
        ControlView view = state.snapshot().view();
        if (view == null || view.number() <= reportedViewNumber.get()) {
            return;
        }
        boolean drained = serverDispatchers.values().stream()
                .allMatch(dispatcher -> dispatcher.drainedViewNumber() >= view.number());
        if (drained && reportedViewNumber.getAndAccumulate(view.number(), Math::max) < view.number()) {
            listener.onViewDrained(view.number());
        }
    }

    private void openServerDispatchers(ControlView view) {
        RoutePlan plan = view.plan().orElse(null);
        if (plan == null) {
            return;
        }
        for (ServerSpec server : view.state().configuration().servers()) {
            boolean isMine = view.self().equals(plan.dispatchers().get(server.id()));
            if (isMine && !serverDispatchers.containsKey(server.id())) {
                openServerDispatcher(server);
            }
        }
    }

    private void openServerDispatcher(ServerSpec server) {
        ServerDispatcher dispatcher = new ServerDispatcher(server, context, worker.getIoThread(), buffers);
        serverDispatchers.put(server.id(), dispatcher);
        metrics.registerServerGauges(server.id(), dispatcher::queuedCount, dispatcher::connectionCount);
    }

    private void tick() {
        ControlView view = state.snapshot().view();
        serverDispatchers.forEach((server, dispatcher) -> {
            boolean isMine = view.plan().isPresent()
                    && view.self().equals(view.plan().get().dispatchers().get(server));
            dispatcher.ioThread().execute(isMine ? dispatcher::tick : dispatcher::tickWhileInactive);
        });
        reportDrainedView();
    }

    /** Measures the load of each server on its own I/O thread, then reports all of them together. */
    private void measureLoad() {
        List<ServerDispatcher> measured = new ArrayList<>(serverDispatchers.values());
        Queue<ServerLoad> loads = new ConcurrentLinkedQueue<>();
        AtomicInteger left = new AtomicInteger(measured.size());
        for (ServerDispatcher dispatcher : measured) {
            dispatcher.ioThread().execute(() -> {
                loads.add(dispatcher.measureLoad());
                if (left.decrementAndGet() == 0) {
                    listener.onLoadMeasured(List.copyOf(loads));
                }
            });
        }
    }

    /** Closes the connections to all servers. */
    public void close() {
        for (ServerDispatcher dispatcher : new ArrayList<>(serverDispatchers.values())) {
            dispatcher.ioThread().execute(dispatcher::close);
        }
    }
}
