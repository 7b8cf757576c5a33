package org.lacewingthread.daemon.router;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lacewingthread.core.arrival.ReadProgress;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.PermitIssuer;
import org.lacewingthread.core.dispatch.RefusalCause;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.GrantOutcome;
import org.lacewingthread.core.keyrange.ReleaseOutcome;
import org.lacewingthread.core.traffic.ResultCode;

/** Counters, histograms and gauges of a router process; OPERATIONS.md describes them. Thread-safe. */
final class RouterMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Timer> timers = new ConcurrentHashMap<>();

    void onAnswer(ResultCode code, String route, long elapsedMillis) {
        timer("lacewingthread.router.requests", "code", Integer.toString(code.number()), "route", route)
                .record(elapsedMillis, TimeUnit.MILLISECONDS);
    }

    void onAttempt(AttemptResult result, double elapsedMillis) {
        timer("lacewingthread.router.attempts", "result", result.name(), "route", "all")
                .record(Math.round(elapsedMillis * 1e3), TimeUnit.MICROSECONDS);
    }

    /**
     * Counts a pass of the traffic thread over its sockets that came late.
     *
     * @param sinceLastMillis time since the last pass began
     */
    void onTrafficPass(long sinceLastMillis) {
        if (sinceLastMillis > ReadProgress.MAX_AGE_MILLIS) {
            timer("lacewingthread.router.passes.late", "thread", "traffic", "route", "all")
                    .record(sinceLastMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Counts a request that was not sent although a server was chosen, or another entry VM. */
    void onSendWithheld(SendObstacle obstacle) {
        registry.counter("lacewingthread.router.sends.withheld", "obstacle", obstacle.name())
                .increment();
    }

    void onGrantEnded(ServiceId service, GrantOutcome outcome, long elapsedMillis) {
        timer("lacewingthread.router.grants", "outcome", outcome.name(), "service", service.value())
                .record(elapsedMillis, TimeUnit.MILLISECONDS);
    }

    void onReleaseEnded(ServiceId service, ReleaseOutcome outcome, long elapsedMillis) {
        timer("lacewingthread.router.releases", "outcome", outcome.name(), "service", service.value())
                .record(elapsedMillis, TimeUnit.MILLISECONDS);
    }

    void onPermit(PermitIssuer.Outcome outcome) {
        registry.counter("lacewingthread.router.permits", "outcome", outcome.name())
                .increment();
    }

    void onInvalid(int status) {
        registry.counter("lacewingthread.router.invalid", "status", Integer.toString(status))
                .increment();
    }

    /** Counts a request that was refused because of an evacuation, or because the views of the servers were too old. */
    void onWithheld(RefusalCause cause) {
        registry.counter("lacewingthread.router.withheld", "cause", cause.name())
                .increment();
    }

    /** Counts a server's response that was replaced because its status falsely promises that the request did not run. */
    void onResponseReplaced(int status) {
        registry.counter("lacewingthread.router.responses.replaced", "status", Integer.toString(status))
                .increment();
    }

    void onUnknownDataCentre() {
        registry.counter("lacewingthread.router.unknown", "evacuated", "data-centre")
                .increment();
    }

    void onUnreadableEvacuation() {
        registry.counter("lacewingthread.router.evacuations.unreadable").increment();
    }

    /** Counts an attempt whose answer is overdue: {@code REPEATED} if another server is asked as well, or {@code AWAITED}. */
    void onOverdue(String outcome) {
        registry.counter("lacewingthread.router.attempts.overdue", "outcome", outcome)
                .increment();
    }

    /** Counts a second attempt: {@code SENT} and later {@code WON} if its response came first. */
    void onHedge(String outcome) {
        registry.counter("lacewingthread.router.hedges", "outcome", outcome).increment();
    }

    void onUnreadableLoad() {
        registry.counter("lacewingthread.router.loads.unreadable").increment();
    }

    void onUnusableColdRate() {
        registry.counter("lacewingthread.router.cold.rates.unusable").increment();
    }

    void onColdSuspected() {
        registry.counter("lacewingthread.router.cold.suspected").increment();
    }

    void onNewStoreEra() {
        registry.counter("lacewingthread.router.eras").increment();
    }

    /** Registers a gauge whose value is read at each scrape. */
    void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder("lacewingthread.router." + name, value)
                .description(description)
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    String scrape() {
        return registry.scrape();
    }

    private Timer timer(String name, String tag, String value, String secondTag, String secondValue) {
        return timers.computeIfAbsent(name + '|' + value + '|' + secondValue, id -> Timer.builder(name)
                .tag(tag, value)
                .tag(secondTag, secondValue)
                .serviceLevelObjectives(
                        Duration.ofMillis(5),
                        Duration.ofMillis(20),
                        Duration.ofMillis(50),
                        Duration.ofMillis(100),
                        Duration.ofMillis(200),
                        Duration.ofMillis(400),
                        Duration.ofMillis(800),
                        Duration.ofMillis(1_600),
                        Duration.ofMillis(3_200))
                .register(registry));
    }
}
