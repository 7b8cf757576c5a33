package org.lacewingthread.daemon.dispatch;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * State and callbacks that a {@link LocalDispatcher} shares with all of its {@link ServerDispatcher}s.
 *
 * @param state newest control view and routes
 * @param clockMillis monotonic clock in milliseconds
 * @param startByMillis longest time in milliseconds after sending in which a server may start a request
 * @param records idempotency records of the requests that this VM dispatches
 * @param listener receives server conditions
 * @param onDrained run when a server has no request in flight for routes that the newest view removed
 * @param returnToRouter receives requests that this VM no longer dispatches
 */
record ServerDispatcherContext(
        TrafficState state,
        LongSupplier clockMillis,
        long startByMillis,
        LocalIdempotencyRecords records,
        DispatchListener listener,
        Runnable onDrained,
        Consumer<PendingRequest> returnToRouter) {}
