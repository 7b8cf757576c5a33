package org.lacewingthread.core.dispatch;

import org.lacewingthread.core.registry.ServerEntry;

/** What {@link RequestDispatcher} decided about one request. */
public sealed interface Decision {
    /** Returns the request. */
    DispatchRequest request();

    /**
     * Send it now.
     *
     * @param server receiver
     * @param expectedMillis expected time until its answer
     */
    record Send(DispatchRequest request, ServerEntry server, long expectedMillis) implements Decision {}

    /**
     * Refuse it now; it has not been sent by this decision.
     *
     * @param cause why
     * @param retryAfterMillis when a repeat has a chance
     */
    record Refuse(DispatchRequest request, RefusalCause cause, long retryAfterMillis) implements Decision {}
}
