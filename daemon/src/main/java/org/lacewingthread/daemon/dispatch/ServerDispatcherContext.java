package org.lacewingthread.daemon.dispatch;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * What the lanes of one dispatcher share.
 *
 * @param state newest view and routes
 * @param clockMillis monotonic clock
 * @param startByMillis how long after sending a request a server may still start it
 * @param records idempotency records
 * @param listener takes observations
 * @param onDrained run when a lane has nothing in flight that the newest view removed
 * @param returnToRouter takes requests that this VM does not dispatch any more
 */
record ServerDispatcherContext(
        TrafficState state,
        LongSupplier clockMillis,
        long startByMillis,
        LocalIdempotencyRecords records,
        DispatchListener listener,
        Runnable onDrained,
        Consumer<PendingRequest> returnToRouter) {}
