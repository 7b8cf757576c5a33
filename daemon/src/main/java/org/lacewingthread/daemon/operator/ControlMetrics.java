package org.lacewingthread.daemon.operator;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** Gauges of one entry VM's control state. OPERATIONS.md describes how operators react to each of them. */
public final class ControlMetrics {
    private final MeterRegistry registry;
    private final Supplier<VmStatus> status;

    /**
     * Creates the metrics without registering them.
     *
     * @param registry registry to which the gauges are added
     * @param status supplies the current state whenever a gauge is read
     */
    public ControlMetrics(MeterRegistry registry, Supplier<VmStatus> status) {
        this.registry = registry;
        this.status = status;
    }

    /** Registers all gauges. */
    public void register() {
        gauge("lacewingthread.ready", "1 while this VM serves callers", s -> s.ready() ? 1 : 0);
        gauge(
                "lacewingthread.leading",
                "1 while this VM leads its data centre",
                s -> s.leader().equals(s.vm()) ? 1 : 0);
        gauge("lacewingthread.log.applied", "offset of the newest record applied", VmStatus::appliedOffset);
        gauge("lacewingthread.configuration.revision", "revision in force here", VmStatus::configurationRevision);
        gauge("lacewingthread.plan.version", "version of the route plan", VmStatus::planVersion);
        gauge(
                "lacewingthread.dispatch.lease.millis",
                "how long the dispatch lease runs",
                VmStatus::dispatchLeaseMillis);
        gauge("lacewingthread.roster.members", "entry VMs in the roster", s -> s.roster()
                .size());
    }

    private void gauge(String name, String description, ToDoubleFunction<VmStatus> value) {
        Gauge.builder(name, () -> value.applyAsDouble(status.get()))
                .description(description)
                .register(registry);
    }
}
