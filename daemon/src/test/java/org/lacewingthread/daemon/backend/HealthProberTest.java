package org.lacewingthread.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Guards against probes that fill the connection pool: each one opens a connection. */
class HealthProberTest {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long TIMEOUT_MILLIS = 5_000;

    @Test
    void idleServerIsReportedReachableOnEveryProbe() throws IOException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        try (BackendServerStandIn server = new BackendServerStandIn(0, BackendSettings.of("maras-server-1"))) {
            ServerSpec spec = specOf(server);
            BackendConnectionPool.Limits limits = BackendConnectionPool.Limits.forDispatcher(spec);
            XnioIoThread ioThread = worker.getIoThread();
            BackendConnectionPool pool = new BackendConnectionPool(
                    spec,
                    limits,
                    ioThread,
                    new DefaultByteBufferPool(true, BUFFER_BYTES),
                    () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
            HealthProber prober = new HealthProber(spec.id(), pool, ioThread);
            List<Optional<ServerCondition>> results = new CopyOnWriteArrayList<>();
            int probes = 3 * limits.maxConnections();
            for (int i = 1; i <= probes; i++) {
                int expected = i;
                ioThread.execute(() -> prober.sendProbe(TIMEOUT_MILLIS, results::add));
                await().until(() -> results.size() == expected);
            }
            assertThat(results).containsOnly(Optional.of(ServerCondition.REACHABLE));
        } finally {
            worker.shutdownNow();
        }
    }

    private static ServerSpec specOf(BackendServerStandIn server) {
        return new ServerSpec(
                new ServerId("maras-server-1"),
                new DataCentreId("maras"),
                "127.0.0.1",
                server.uri().getPort(),
                List.of(),
                2,
                50,
                false,
                false);
    }
}
