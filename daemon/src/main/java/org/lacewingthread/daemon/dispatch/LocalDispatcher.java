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
 * Dispatches requests to the backend servers that the route plan names this VM for. Each server has
 * one lane: a queue, connections and observations, confined to one I/O thread.
 *
 * <pre>{@code
 * LocalDispatcher dispatcher = new LocalDispatcher(state, worker, clock, settings, replica, listener, metrics);
 * RequestRouter router = new RequestRouter(state, dispatcher, relays, worker, clock);
 * router.handle(request, sink);
 * }</pre>
 *
 * <p>A request is sent only under an unexpired dispatch lease and to the owner that the newest plan
 * names; both are read again right before its first byte is written. What the plan no longer lets this
 * VM dispatch goes back to the {@link RequestRouter}.
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
     * Settings of a dispatcher.
     *
     * @param startByMillis how long after sending a request a server may still start it
     * @param records limits of the idempotency records
     */
    public record Settings(long startByMillis, IdempotencyRecords.Settings records) {}

    /** Creates a dispatcher that follows a traffic state. */
    public LocalDispatcher(
            TrafficState state,
            XnioWorker worker,
            LongSupplier clockMillis,
            Settings settings,
            IdempotencyRecordReplicator replica,
            DispatchListener listener,
            TrafficMetrics metrics) {
        this.state = state;
        this.worker = worker;
        this.listener = listener;
        this.metrics = metrics;
        this.records = new LocalIdempotencyRecords(settings.records(), replica, clockMillis);
        this.context = new ServerDispatcherContext(
                state,
                clockMillis,
                settings.startByMillis(),
                records,
                listener,
                this::reportDrainedView,
                pending -> returnToRouter.accept(pending));
        state.addListener(this::onViewPublished);
        worker.getIoThread().executeAtInterval(this::measureLoad, LOAD_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        worker.getIoThread().executeAtInterval(this::tick, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Names who takes requests that this VM does not dispatch any more. */
    void setRouter(Consumer<PendingRequest> router) {
        this.returnToRouter = router;
    }

    /** Queues a request for a server that this VM dispatches for. */
    void submit(PendingRequest pending, ServerId server) {
        ServerDispatcher lane = serverDispatchers.get(server);
        if (lane == null) {
            // Proof of "not run": the request was given to no lane, so it can't be sent.
            pending.fail(
                    ResultCode.NO_OWNER, NO_DISPATCHER_RETRY_MILLIS, "server \"" + server + "\" is not configured");
            return;
        }
        lane.submit(pending);
    }

    /** Returns copies of the idempotency records of shards, for the VM that dispatches for them next. */
    public List<IdempotencyRecord> recordsOf(Set<ShardId> shards) {
        return records.copiesOf(shards);
    }

    private void onViewPublished() {
        ControlView view = state.snapshot().view();
        records.onViewPublished(view);
        openServerDispatchers(view);
        for (ServerDispatcher lane : serverDispatchers.values()) {
            lane.ioThread().execute(lane::onViewPublished);
        }
        reportDrainedView();
    }

    /** Reports the newest view once every lane has applied it and has nothing in flight that it removed. */
    private void reportDrainedView() {
        ControlView view = state.snapshot().view();
        if (view == null || view.number() <= reportedViewNumber.get()) {
            return;
        }
        boolean drained =
                serverDispatchers.values().stream().allMatch(lane -> lane.drainedViewNumber() >= view.number());
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
        ServerDispatcher lane = new ServerDispatcher(server, context, worker.getIoThread(), buffers);
        serverDispatchers.put(server.id(), lane);
        metrics.registerServerGauges(server.id(), lane::queuedCount, lane::connectionCount);
    }

    private void tick() {
        ControlView view = state.snapshot().view();
        serverDispatchers.forEach((server, lane) -> {
            boolean isMine = view.plan().isPresent()
                    && view.self().equals(view.plan().get().dispatchers().get(server));
            lane.ioThread().execute(isMine ? lane::tick : lane::tickWhileInactive);
        });
        reportDrainedView();
    }

    /** Collects the load of each lane on its own I/O thread, then reports them together. */
    private void measureLoad() {
        List<ServerDispatcher> measured = new ArrayList<>(serverDispatchers.values());
        Queue<ServerLoad> loads = new ConcurrentLinkedQueue<>();
        AtomicInteger left = new AtomicInteger(measured.size());
        for (ServerDispatcher lane : measured) {
            lane.ioThread().execute(() -> {
                loads.add(lane.measureLoad());
                if (left.decrementAndGet() == 0) {
                    listener.onLoadMeasured(List.copyOf(loads));
                }
            });
        }
    }

    /** Closes the connections to all servers. */
    public void close() {
        for (ServerDispatcher lane : new ArrayList<>(serverDispatchers.values())) {
            lane.ioThread().execute(lane::close);
        }
    }
}
