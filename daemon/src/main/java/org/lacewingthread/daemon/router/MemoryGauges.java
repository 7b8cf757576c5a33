package org.lacewingthread.daemon.router;

import org.lacewingthread.core.memory.EvictionReason;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.daemon.intake.CallerListener;

/** Registers the gauges of the memory of requests and responses. */
final class MemoryGauges {
    private MemoryGauges() {}

    static void register(RouterMetrics metrics, MemoryAccount memory, CallerListener listener) {
        metrics.gauge("memory.held", "bytes held for requests and responses", memory::heldBytes);
        metrics.gauge("memory.limit", "bytes that may be held for requests and responses", memory::maxBytes);
        metrics.gauge("memory.waiting", "requests whose callers wait for memory", memory::pausedCount);
        metrics.gauge("memory.paused", "how often a caller had to wait for memory", memory::pauseCount);
        metrics.gauge(
                "memory.exhausted",
                "requests and responses given up because the memory was used up",
                () -> memory.evictionCount(EvictionReason.EXHAUSTED));
        metrics.gauge(
                "memory.slow",
                "requests given up that were slow while others waited for memory",
                () -> memory.evictionCount(EvictionReason.TOO_SLOW));
        metrics.gauge("request.heads.late", "requests refused because their heads took too long", listener::lateHeads);
        metrics.gauge(
                "connections.closed", "callers' connections closed because of their number", listener::closedForRoom);
    }
}
