package org.lacewingthread.core.dispatch;

import org.lacewingthread.core.registry.ServerEntry;

/** Decision of {@link RequestDispatcher} about one request: send it or refuse it. */
public sealed interface Decision {
    /** Returns the request that the decision is about. */
    DispatchRequest request();

    /**
     * Sends the request now.
     *
     * @param server server to send to
     * @param expectedMillis expected time until the response, in milliseconds
     */
    record Send(DispatchRequest request, ServerEntry server, long expectedMillis) implements Decision {}

    /**
     * Refuses the request without sending it; earlier attempts may have been sent.
     *
     * @param cause reason for the refusal
     * @param retryAfterMillis delay after which a retry may succeed, in milliseconds
     */
    record Refuse(DispatchRequest request, RefusalCause cause, long retryAfterMillis) implements Decision {}
}
