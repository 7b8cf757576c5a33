package org.lacewingthread.daemon.dispatch;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.traffic.ResultCode;

/** Meters of the traffic side: requests by result and class with their latency, queues and connections. */
public final class TrafficMetrics {
    private final MeterRegistry registry;
    private final ConcurrentMap<Series, Timer> requestTimers = new ConcurrentHashMap<>();

    private record Series(ResultCode code, String requestClass) {}

    /** Creates meters in a registry. */
    public TrafficMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Counts an answered request.
     *
     * @param code its result
     * @param requestClass its class, or null if it was refused before it had one
     * @param latencyNanos time from its first byte to its answer
     */
    public void recordRequest(ResultCode code, RequestClass requestClass, long latencyNanos) {
        String name = requestClass == null ? "none" : requestClass.name().toLowerCase(Locale.ROOT);
        requestTimers.computeIfAbsent(new Series(code, name), this::timer).record(latencyNanos, TimeUnit.NANOSECONDS);
    }

    private Timer timer(Series series) {
        return Timer.builder("lacewingthread.requests")
                .tag("result", Integer.toString(series.code().number()))
                .tag("class", series.requestClass())
                .publishPercentileHistogram()
                .minimumExpectedValue(Duration.ofMillis(1))
                .maximumExpectedValue(Duration.ofMinutes(1))
                .register(registry);
    }

    /** Shows a server's queue and connections. */
    void registerServerGauges(ServerId server, Supplier<Number> queued, Supplier<Number> connections) {
        Gauge.builder("lacewingthread.server.queued", queued)
                .tag("server", server.value())
                .register(registry);
        Gauge.builder("lacewingthread.server.connections", connections)
                .tag("server", server.value())
                .register(registry);
    }
}
