package org.lacewingthread.daemon.exchange;

/** Processes a request asynchronously, either on this entry VM or by relaying it to another one. */
@FunctionalInterface
public interface RequestHandler {
    /** Cancels a request that was passed to {@link #handle}. */
    @FunctionalInterface
    interface Cancellation {
        /** Cancels the request because its caller left; the sink gets no further calls, except those under way. */
        void cancel();
    }

    /**
     * Starts processing a request and returns without blocking.
     *
     * @param request the request, with its body complete
     * @param sink receives the response or the failure
     * @return cancels the request
     */
    Cancellation handle(RoutedRequest request, ResponseSink sink);
}
