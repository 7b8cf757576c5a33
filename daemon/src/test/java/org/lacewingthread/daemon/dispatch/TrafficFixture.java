package org.lacewingthread.daemon.dispatch;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.traffic.IdempotencyRecords;
import org.lacewingthread.daemon.caller.CallerServer;
import org.lacewingthread.daemon.settings.EntrySettings.CallerLimits;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Runs the request path of one entry VM on real sockets, driven by the control views that a test publishes. */
public final class TrafficFixture implements AutoCloseable {
    public static final LongSupplier CLOCK = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private static final long START_BY_MILLIS = 250;
    private static final int IO_THREADS = 2;
    private static final long MAX_HOLD_SECONDS = 10;

    public final TrafficState state = new TrafficState();
    public final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    public final List<String> observations = new CopyOnWriteArrayList<>();
    public final List<Long> drainedViews = new CopyOnWriteArrayList<>();
    public final RequestRouter router;
    public final CallerServer callerServer;
    /** Called for each published view before the listeners of the product. */
    volatile Runnable firstListener = () -> {};

    private final XnioWorker worker;
    private final LocalDispatcher dispatcher;

    public TrafficFixture() throws Exception {
        this(CallerLimits.DEFAULT, IdempotencyRecordReplicator.NONE, RelayDirectory.NONE);
    }

    public TrafficFixture(CallerLimits limits, IdempotencyRecordReplicator replicator, RelayDirectory relays)
            throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
        state.addListener(() -> firstListener.run());
        TrafficMetrics metrics = new TrafficMetrics(registry);
        dispatcher = new LocalDispatcher(
                state,
                worker,
                CLOCK,
                new LocalDispatcher.Settings(START_BY_MILLIS, IdempotencyRecords.Settings.DEFAULT),
                replicator,
                listener(),
                metrics);
        router = new RequestRouter(state, dispatcher, relays, worker, CLOCK);
        callerServer = new CallerServer(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                worker,
                state,
                router,
                limits,
                CLOCK,
                metrics,
                "t1");
        callerServer.start();
    }

    private DispatchListener listener() {
        return new DispatchListener() {
            @Override
            public void onServerConditionChanged(ServerId observed, ServerCondition condition) {
                observations.add(observed + " " + condition);
            }

            @Override
            public void onViewDrained(long view) {
                drainedViews.add(view);
            }

            @Override
            public void onLoadMeasured(List<ServerLoad> load) {}
        };
    }

    /** Keeps all I/O threads from their work until the returned latch is counted down. */
    CountDownLatch holdUpThreads() {
        CountDownLatch end = new CountDownLatch(1);
        for (int i = 0; i < IO_THREADS; i++) {
            // Threads are handed out in turn.
            worker.getIoThread().execute(() -> {
                try {
                    end.await(MAX_HOLD_SECONDS, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        return end;
    }

    public static long deadlineIn(long millis) {
        return CLOCK.getAsLong() + millis;
    }

    @Override
    public void close() {
        callerServer.stop();
        dispatcher.close();
        worker.shutdownNow();
    }
}
