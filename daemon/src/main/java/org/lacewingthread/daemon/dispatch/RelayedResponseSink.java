package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.function.Consumer;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;

/**
 * Passes the response to a relayed request on to the sink of the original request. The request is routed again if it
 * provably never left this VM, or if it may be repeated and the relay was lost before the response started.
 */
final class RelayedResponseSink implements ResponseSink {
    private final PendingRequest pendingRequest;
    private final Consumer<PendingRequest> router;
    private boolean responseStarted;
    private boolean cancelled;
    private boolean rerouted;
    private RequestHandler.Cancellation cancellation = () -> {};

    RelayedResponseSink(PendingRequest pendingRequest, Consumer<PendingRequest> router) {
        this.pendingRequest = pendingRequest;
        this.router = router;
    }

    /** Sets what is cancelled when the caller leaves, unless the request was already routed again. */
    synchronized void setCancellation(RequestHandler.Cancellation relay) {
        if (cancelled) {
            relay.cancel();
        } else if (!rerouted) {
            cancellation = relay;
        }
    }

    synchronized void cancel() {
        cancelled = true;
        cancellation.cancel();
    }

    @Override
    public boolean isAbandoned() {
        return pendingRequest.hasCallerLeft();
    }

    @Override
    public void onHead(ResponseStatus status, List<HeaderField> headers) {
        responseStarted = true;
        pendingRequest.sink().onHead(status, headers);
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        pendingRequest.sink().onBody(chunk, consumed);
    }

    @Override
    public void onEnd() {
        pendingRequest.sink().onEnd();
    }

    @Override
    public void onFailure(Failure failure) {
        if (mayReroute(failure)) {
            reroute(failure);
        } else {
            pendingRequest.forwardRelayFailure(failure);
        }
    }

    private boolean mayReroute(Failure failure) {
        if (responseStarted) {
            return false;
        }
        return failure.code() == ResultCode.RELAY_UNREACHABLE
                || (failure.code() == ResultCode.RELAY_LOST
                        && pendingRequest.request().requestClass().mayRepeat());
    }

    private void reroute(Failure failure) {
        PendingRequest again = new PendingRequest(pendingRequest.request(), pendingRequest.sink());
        again.limitHoldUntil(pendingRequest.holdUntilMillis());
        if (pendingRequest.mayHaveRun() || failure.code() == ResultCode.RELAY_LOST) {
            again.markMayHaveRun();
        }
        synchronized (this) {
            if (cancelled) {
                return;
            }
            rerouted = true;
            cancellation = again::cancel;
        }
        router.accept(again);
    }
}
