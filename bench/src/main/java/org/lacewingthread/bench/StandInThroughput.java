package org.lacewingthread.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.lacewingthread.daemon.platform.HttpPlatformLog;
import org.lacewingthread.daemon.platform.LogException;
import org.lacewingthread.daemon.platform.PlatformClient;
import org.lacewingthread.daemon.platform.PlatformLog;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;
import org.lacewingthread.standin.LogServiceStandIn;

/**
 * Measures how many requests per second the backend server stand-in and how many appends per second the log stand-in
 * can handle on their own. A fixed number of callers each send the next request as soon as the last one is answered.
 */
public final class StandInThroughput {
    private static final int CALLERS = 32;
    private static final int APPENDERS = 4;
    private static final int SLOTS = 64;
    private static final int RECORD_BYTES = 500;
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long MEASURED_MILLIS = 5_000;

    private StandInThroughput() {}

    /** Runs both measurements and prints their results. */
    public static void main(String[] args) throws IOException, InterruptedException, ExecutionException {
        System.out.printf("backend server stand-in: %.0f requests/s with %d callers%n", requestsPerSecond(), CALLERS);
        System.out.printf(
                "log stand-in: %.0f appends/s of %d bytes with %d writers%n",
                appendsPerSecond(), RECORD_BYTES, APPENDERS);
        System.exit(0);
    }

    private static double requestsPerSecond() throws IOException, InterruptedException {
        BackendSettings settings = BackendSettings.of("s1").withSlots(SLOTS, SLOTS);
        LongAdder answered = new LongAdder();
        AtomicBoolean stopped = new AtomicBoolean();
        try (BackendServerStandIn server = new BackendServerStandIn(0, settings);
                HttpConnectionPools pools = new HttpConnectionPools(server.uri(), CALLERS)) {
            for (int caller = 0; caller < CALLERS; caller++) {
                sendUntilStopped(pools, caller, answered, stopped);
            }
            double rate = ratePerSecond(answered);
            stopped.set(true);
            return rate;
        }
    }

    private static void sendUntilStopped(
            HttpConnectionPools pools, int caller, LongAdder answered, AtomicBoolean stopped) {
        pools.submit(
                caller,
                new PlannedRequest(
                        "lookup", "GET", "/rugs/" + caller, Map.of(), System.nanoTime(), TIMEOUT_MILLIS, outcome -> {
                            if (outcome.success()) {
                                answered.increment();
                            }
                            if (!stopped.get()) {
                                sendUntilStopped(pools, caller, answered, stopped);
                            }
                        }));
    }

    private static double appendsPerSecond() throws IOException, InterruptedException, ExecutionException {
        LongAdder appended = new LongAdder();
        ExecutorService writers = Executors.newFixedThreadPool(APPENDERS);
        try (LogServiceStandIn service = new LogServiceStandIn(0);
                PlatformClient client =
                        PlatformClient.open(new PlatformClient.Timeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS))) {
            List<Future<?>> running = new ArrayList<>();
            for (int writer = 0; writer < APPENDERS; writer++) {
                PlatformLog log = new HttpPlatformLog(client, service.uri(), "routing");
                running.add(writers.submit(() -> appendUntilInterrupted(log, appended)));
            }
            double rate = ratePerSecond(appended);
            writers.shutdownNow();
            for (Future<?> writer : running) {
                writer.get();
            }
            return rate;
        }
    }

    private static Void appendUntilInterrupted(PlatformLog log, LongAdder appended) throws LogException {
        byte[] record = new byte[RECORD_BYTES];
        while (!Thread.currentThread().isInterrupted()) {
            try {
                log.append(record);
                appended.increment();
            } catch (LogException.OutcomeUnknown e) {
                if (!Thread.currentThread().isInterrupted()) {
                    throw e;
                }
            }
        }
        return null;
    }

    private static double ratePerSecond(LongAdder counter) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
        long countBefore = counter.sum();
        long startNanos = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(MEASURED_MILLIS);
        long elapsedNanos = System.nanoTime() - startNanos;
        return (counter.sum() - countBefore) * (double) TimeUnit.SECONDS.toNanos(1) / elapsedNanos;
    }
}
