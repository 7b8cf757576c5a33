package org.lacewingthread.bench.traffic;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.traffic.IdempotencyRecords;
import org.lacewingthread.daemon.caller.CallerServer;
import org.lacewingthread.daemon.dispatch.DispatchListener;
import org.lacewingthread.daemon.dispatch.IdempotencyRecordReplicator;
import org.lacewingthread.daemon.dispatch.LocalDispatcher;
import org.lacewingthread.daemon.dispatch.RelayDirectory;
import org.lacewingthread.daemon.dispatch.RequestRouter;
import org.lacewingthread.daemon.dispatch.TrafficMetrics;
import org.lacewingthread.daemon.dispatch.TrafficState;
import org.lacewingthread.daemon.settings.EntrySettings.CallerLimits;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Runs the request-handling part of one entry VM and a backend server stand-in with two slots until standard input
 * ends, so that {@code LoadCommand} can send load to either of them.
 *
 * <pre>
 * java -cp ... org.lacewingthread.bench.traffic.TrafficSideMain CALLER_PORT BACKEND_PORT SERVICE_MILLIS
 * </pre>
 */
public final class TrafficSideMain {
    private static final int SHARDS = 1_024;
    private static final int SLOTS = 2;
    private static final long START_BY_MILLIS = 250;
    private static final int IO_THREADS = 2;

    private TrafficSideMain() {}

    /** Starts the entry VM part and the stand-in and waits for the end of standard input. */
    public static void main(String[] args) throws IOException {
        int callerPort = Integer.parseInt(args[0]);
        int backendPort = Integer.parseInt(args[1]);
        BackendSettings settings = BackendSettings.of("s1").withServiceMillis(Long.parseLong(args[2]));
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
        try (BackendServerStandIn backend = new BackendServerStandIn(backendPort, settings)) {
            TrafficState state = new TrafficState();
            CallerServer server = createCallerServer(worker, state, callerPort);
            ServerSpec spec = BenchmarkViews.serverSpec("s1", backend.uri().getPort(), SLOTS);
            state.publish(BenchmarkViews.view(List.of(spec), SHARDS));
            server.start();
            System.out.println("callers at port " + server.port() + ", backend server at " + backend.uri());
            while (System.in.read() >= 0) {
                System.out.println("still running; end the input to stop");
            }
            server.stop();
        } finally {
            worker.shutdownNow();
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static CallerServer createCallerServer(XnioWorker worker, TrafficState state, int port) {
        TrafficMetrics metrics = new TrafficMetrics(new SimpleMeterRegistry());
        LocalDispatcher.Settings settings =
                new LocalDispatcher.Settings(START_BY_MILLIS, IdempotencyRecords.Settings.DEFAULT);
        LocalDispatcher dispatcher = new LocalDispatcher(
                state,
                worker,
                TrafficSideMain::nowMillis,
                settings,
                IdempotencyRecordReplicator.NONE,
                new PrintingListener(),
                metrics);
        RequestRouter router =
                new RequestRouter(state, dispatcher, RelayDirectory.NONE, worker, TrafficSideMain::nowMillis);
        return new CallerServer(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                worker,
                state,
                router,
                CallerLimits.DEFAULT,
                TrafficSideMain::nowMillis,
                metrics,
                "bench");
    }

    private static final class PrintingListener implements DispatchListener {
        @Override
        public void onServerConditionChanged(ServerId server, ServerCondition condition) {
            System.out.println("server " + server + " is " + condition);
        }

        @Override
        public void onViewDrained(long view) {
            System.out.println("view " + view + " is drained");
        }

        @Override
        public void onLoadMeasured(List<ServerLoad> load) {
            // Not printed: LoadCommand reports the load, and output here would disturb the measurement.
        }
    }
}
