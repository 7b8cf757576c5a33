package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.routing.RoutingTable.Route;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Routes each request to the local dispatcher, to the entry VM that dispatches for its server, or to another data
 * centre. Requests from callers and requests relayed by other entry VMs are treated alike, so that a stale route is
 * corrected in one hop.
 *
 * <p>A request for a shard that is being reassigned is held for at most {@code MAX_HELD_MILLIS}, but not past
 * its deadline, and routed as soon as a view names the shard's next owner.
 */
public final class RequestRouter implements RequestHandler {
    private static final int MAX_HOPS = 3;
    private static final int MAX_HELD_REQUESTS = 4_096;
    private static final long MAX_HELD_MILLIS = 3_000;
    private static final long HELD_CHECK_INTERVAL_MILLIS = 20;
    private static final long NO_OWNER_RETRY_MILLIS = 500;
    private static final long NOT_READY_RETRY_MILLIS = 1_000;

    private final TrafficState state;
    private final LocalDispatcher dispatcher;
    private final RelayDirectory relays;
    private final LongSupplier clockMillis;
    private final XnioIoThread ioThread;
    private final Set<PendingRequest> heldRequests = ConcurrentHashMap.newKeySet();

    /** Creates a router, which also receives the requests that the dispatcher no longer dispatches. */
    public RequestRouter(
            TrafficState state,
            LocalDispatcher dispatcher,
            RelayDirectory relays,
            XnioWorker worker,
            LongSupplier clockMillis) {
        this.state = state;
        this.dispatcher = dispatcher;
        this.relays = relays;
        this.clockMillis = clockMillis;
        this.ioThread = worker.getIoThread();
        dispatcher.setRouter(this::route);
        state.addListener(() -> ioThread.execute(this::checkHeldRequests));
        ioThread.executeAtInterval(this::checkHeldRequests, HELD_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public Cancellation handle(RoutedRequest request, ResponseSink sink) {
        PendingRequest pending = new PendingRequest(request, sink);
        route(pending);
        return pending::cancel;
    }

    /** Returns the number of requests held for shards that are being reassigned or for unreachable VMs. */
    public int heldCount() {
        return heldRequests.size();
    }

    /*
     * "Not run" is certain for every refusal in this class: the request is refused by the code that would
     * pass it on, and a request that the dispatcher returns was not sent to a server, or was provably
     * refused by one before running it.
     */
    private void route(PendingRequest pending) {
        RoutedRequest request = pending.request();
        TrafficState.Snapshot snapshot = state.snapshot();
        if (clockMillis.getAsLong() >= request.deadlineMillis()) {
            pending.fail(ResultCode.DEADLINE_PASSED, 0, "deadline passed before the request was sent");
            return;
        }
        if (!snapshot.isReady()) {
            pending.fail(ResultCode.NOT_READY, NOT_READY_RETRY_MILLIS, "this entry VM has no current state yet");
            return;
        }
        Route route = snapshot.routeOf(request);
        switch (route.target()) {
            case LOCAL -> dispatcher.submit(pending, route.server());
            case PEER_VM -> relay(pending, relays.toVm(route.vm()));
            case OTHER_DATA_CENTRE -> relayToDataCentre(pending, route);
            case REASSIGNING -> hold(pending);
            case NO_OWNER -> failNoOwner(pending);
            default -> throw new IllegalStateException("unknown target " + route.target());
        }
    }

    private void relayToDataCentre(PendingRequest pending, Route route) {
        Optional<RequestHandler> relay = relays.toDataCentre(route.dataCentre());
        if (relay.isEmpty()) {
            pending.fail(
                    ResultCode.DATA_CENTRE_UNREACHABLE,
                    NO_OWNER_RETRY_MILLIS,
                    "data centre \"" + route.dataCentre() + "\" can't be reached");
            return;
        }
        relay(pending, relay);
    }

    private void relay(PendingRequest pending, Optional<RequestHandler> relay) {
        RoutedRequest request = pending.request();
        if (request.hops() >= MAX_HOPS) {
            pending.fail(ResultCode.TOO_MANY_HOPS, NO_OWNER_RETRY_MILLIS, "relayed " + request.hops() + " times");
            return;
        }
        if (relay.isEmpty()) {
            hold(pending);
            return;
        }
        if (pending.endAsRelayed()) {
            RelayedResponseSink responseSink = new RelayedResponseSink(pending, this::route);
            pending.setCancelAction(responseSink::cancel);
            responseSink.setCancellation(relay.get().handle(withNextHop(request), responseSink));
        }
    }

    private static RoutedRequest withNextHop(RoutedRequest request) {
        return new RoutedRequest(
                request.requestId(),
                request.shard(),
                request.keyHash(),
                request.requestClass(),
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                request.deadlineMillis(),
                request.idempotencyKey(),
                request.hops() + 1);
    }

    private void hold(PendingRequest pending) {
        if (heldRequests.size() >= MAX_HELD_REQUESTS) {
            pending.fail(ResultCode.OVERLOADED, NO_OWNER_RETRY_MILLIS, "too many requests wait for an owner");
            return;
        }
        pending.setCancelAction(() -> {
            heldRequests.remove(pending);
            pending.fail(ResultCode.CANCELLED, 0, "the caller left");
        });
        pending.limitHoldUntil(clockMillis.getAsLong() + MAX_HELD_MILLIS);
        heldRequests.add(pending);
    }

    private void checkHeldRequests() {
        for (PendingRequest pending : List.copyOf(heldRequests)) {
            if (clockMillis.getAsLong() >= pending.holdUntilMillis()) {
                if (heldRequests.remove(pending)) {
                    failNoOwner(pending);
                }
            } else if (isRoutable(pending) && heldRequests.remove(pending)) {
                route(pending);
            }
        }
    }

    private boolean isRoutable(PendingRequest pending) {
        Route route = state.snapshot().routeOf(pending.request());
        return switch (route.target()) {
            case REASSIGNING -> false;
            case PEER_VM -> relays.toVm(route.vm()).isPresent();
            default -> true;
        };
    }

    private static void failNoOwner(PendingRequest pending) {
        ShardId shard = pending.request().shard();
        pending.fail(
                ResultCode.NO_OWNER, NO_OWNER_RETRY_MILLIS, "no server owns shard \"" + shard + "\" at the moment");
    }
}
