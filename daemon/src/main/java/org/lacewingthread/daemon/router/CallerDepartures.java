package org.lacewingthread.daemon.router;

import java.util.Optional;
import org.lacewingthread.core.dispatch.RequestDispatcher;

/** Ends requests whose callers have left. Runs on the traffic thread. */
final class CallerDepartures {
    private final RequestEngine engine;
    private final RequestDispatcher dispatcher;
    private final RelaySender relays;
    private final ResponseSender responder;

    CallerDepartures(RequestEngine engine, RequestDispatcher dispatcher, RelaySender relays, ResponseSender responder) {
        this.engine = engine;
        this.dispatcher = dispatcher;
        this.relays = relays;
        this.responder = responder;
    }

    /**
     * Ends a request. One that must not repeat and at which a server may be at work is awaited; nothing else of it is sent.
     * Another entry VM that has it decides the same way.
     */
    void end(ActiveRequest request) {
        if (request.finished || request.callerDisconnected) {
            return;
        }
        responder.logCallerDisconnected(request);
        request.callerDisconnected = true;
        request.queuedRequest.ifPresent(dispatcher::cancel);
        request.queuedRequest = Optional.empty();
        if (request.route.repeatability().maySendAgain(true) || !request.isAtServer()) {
            engine.finish(request);
        } else {
            relays.cancel(request);
        }
    }
}
