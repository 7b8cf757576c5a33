package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.function.Consumer;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;

/**
 * Passes the answer of a relayed request on. A request that provably never left this VM is routed
 * again, and so is one that may be repeated and whose relay was lost before its answer began.
 */
final class RelayedAnswer implements ResponseSink {
    private final PendingRequest relayed;
    private final Consumer<PendingRequest> router;
    private boolean answering;
    private boolean cancelled;
    private boolean isRoutedAgain;
    private RequestHandler.Cancellation cancellation = () -> {};

    RelayedAnswer(PendingRequest relayed, Consumer<PendingRequest> router) {
        this.relayed = relayed;
        this.router = router;
    }

    /** Names what to cancel when the caller leaves; a request that was routed again keeps its own. */
    synchronized void follow(RequestHandler.Cancellation relay) {
        if (cancelled) {
            relay.cancel();
        } else if (!isRoutedAgain) {
            cancellation = relay;
        }
    }

    synchronized void cancel() {
        cancelled = true;
        cancellation.cancel();
    }

    @Override
    public void onHead(int status, List<HeaderField> headers) {
        answering = true;
        relayed.sink().onHead(status, headers);
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        relayed.sink().onBody(chunk, consumed);
    }

    @Override
    public void onEnd() {
        relayed.sink().onEnd();
    }

    @Override
    public void onFailure(Failure failure) {
        if (mayRouteAgain(failure)) {
            routeAgain(failure);
        } else {
            relayed.sink().onFailure(failure);
        }
    }

    private boolean mayRouteAgain(Failure failure) {
        if (answering) {
            return false;
        }
        return failure.code() == ResultCode.RELAY_UNREACHABLE
                || (failure.code() == ResultCode.RELAY_LOST
                        && relayed.request().requestClass().mayRepeat());
    }

    private void routeAgain(Failure failure) {
        PendingRequest again = new PendingRequest(relayed.request(), relayed.sink());
        again.holdAtMostUntil(relayed.holdUntilMillis());
        if (relayed.mayHaveRun() || failure.code() == ResultCode.RELAY_LOST) {
            again.markMayHaveRun();
        }
        synchronized (this) {
            if (cancelled) {
                return;
            }
            isRoutedAgain = true;
            cancellation = again::cancel;
        }
        router.accept(again);
    }
}
