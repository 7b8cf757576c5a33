package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.routing.RoutingTable.Route;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.backend.SendPermit;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RoutedRequest;

/** Checks against the newest control view whether this VM may send a request to one server, and issues the permit. */
final class SendPermitIssuer {
    private final ServerId server;
    private final TrafficState state;
    private final LocalIdempotencyRecords records;
    private final LongSupplier clockMillis;
    private final long startByMillis;

    SendPermitIssuer(ServerId server, ServerDispatcherContext context) {
        this.server = server;
        this.state = context.state();
        this.records = context.records();
        this.clockMillis = context.clockMillis();
        this.startByMillis = context.startByMillis();
    }

    /** Returns whether the newest plan names this VM as dispatcher and the server as the shard's owner. */
    boolean isDispatchedHere(RoutedRequest request) {
        return state.snapshot().isDispatchedHere(request, server);
    }

    /** Returns whether a queued request may still be sent from here under the decision that admitted it. */
    boolean isAdmissionValid(PendingRequest pending) {
        return isDispatchedHere(pending.request()) && records.isAdmissionCurrent(pending);
    }

    boolean hasDispatchLease() {
        return clockMillis.getAsLong() < state.snapshot().view().dispatchDeadlineMillis();
    }

    /** Issues a permit if caller, lease, owner and deadline allow sending; called right before the first byte is written. */
    Optional<SendPermit> issuePermit(PendingRequest pending) {
        if (pending.hasCallerLeft()) {
            // "Not run" is certain: no byte of this attempt was written, and PendingRequest knows of earlier ones.
            pending.fail(ResultCode.CANCELLED, 0, "the caller left before the request was sent");
            return Optional.empty();
        }
        RoutedRequest request = pending.request();
        TrafficState.Snapshot snapshot = state.snapshot();
        long nowMillis = clockMillis.getAsLong();
        long leaseLeftMillis = snapshot.view().dispatchDeadlineMillis() - nowMillis;
        long waitLeftMillis = request.deadlineMillis() - nowMillis;
        if (pending.isEnded() || leaseLeftMillis <= 0 || waitLeftMillis <= 0) {
            return Optional.empty();
        }
        if (!snapshot.isDispatchedHere(request, server) || !records.isAdmissionCurrent(pending)) {
            return Optional.empty();
        }
        Route route = snapshot.routeOf(request);
        long startWithinMillis = Math.min(startByMillis, Math.min(leaseLeftMillis, waitLeftMillis));
        return Optional.of(new SendPermit(List.of(
                new HeaderField(
                        "Lacewingthread-Shard", snapshot.shardOf(request).toString()),
                new HeaderField("Lacewingthread-Token", route.token().toString()),
                new HeaderField("Lacewingthread-Start-By-Millis", Long.toString(startWithinMillis)),
                new HeaderField("Lacewingthread-Deadline-Millis", Long.toString(waitLeftMillis)))));
    }

    /** Returns the time after which a server provably neither runs nor starts a request that was sent to it. */
    long latestExecutionMillis(RoutedRequest request) {
        return request.deadlineMillis() + startByMillis;
    }

    /** Returns the number of the newest view. */
    long viewNumber() {
        return state.snapshot().view().number();
    }
}
