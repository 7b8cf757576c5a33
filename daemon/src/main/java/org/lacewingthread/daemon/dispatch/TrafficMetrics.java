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

/** Metrics of request traffic: latency of requests by result and class, and queue and connections of each server. */
public final class TrafficMetrics {
    private final MeterRegistry registry;
    private final ConcurrentMap<Series, Timer> requestTimers = new ConcurrentHashMap<>();

    private record Series(ResultCode code, String requestClass) {}

    /** Creates metrics that register their meters in a registry. */
    public TrafficMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Records the latency of a request that was answered.
     *
     * @param code result of the request
     * @param requestClass class of the request, or null if it was refused before it was classified
     * @param latencyNanos nanoseconds from the first byte of the request to its response
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

    /** Registers gauges for the queue length and the connection count of a server. */
    void registerServerGauges(ServerId server, Supplier<Number> queued, Supplier<Number> connections) {
        Gauge.builder("lacewingthread.server.queued", queued)
                .tag("server", server.value())
                .register(registry);
        Gauge.builder("lacewingthread.server.connections", connections)
                .tag("server", server.value())
                .register(registry);
    }
}
