package org.lacewingthread.daemon.exchange;

/** Takes a request one step further: to the local dispatcher or to another entry VM. */
@FunctionalInterface
public interface RequestHandler {
    /** Gives up on a request. */
    @FunctionalInterface
    interface Cancellation {
        /** The caller left. The sink is not called any more afterwards, except by calls under way. */
        void cancel();
    }

    /**
     * Handles a request without blocking the calling thread.
     *
     * @param request the request
     * @param sink takes the answer
     */
    Cancellation handle(RoutedRequest request, ResponseSink sink);
}
