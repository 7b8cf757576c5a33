package org.lacewingthread.core.dispatch;

import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.registry.ServerEntry;

/** Decision of {@link RequestDispatcher} about one request: send it, refuse it, or ask the leader first. */
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
     * Asks the leader whether the request may be sent to a limited server. The request waits for {@link
     * RequestDispatcher#onPermit}, or until the answer is overdue.
     *
     * @param server the server
     * @param limit the limit
     * @param namedAtMillis when the server named it; the time of the decision if it is cold
     * @param kind where the limit comes from
     */
    record AskPermit(DispatchRequest request, ServerStart server, NamedLimit limit, long namedAtMillis, LimitKind kind)
            implements Decision {
        /** Returns the message to the leader. */
        public PermitRequest permitRequest(long nowMillis) {
            return new PermitRequest(
                    request.number(), server, limit, Math.max(0, nowMillis - namedAtMillis), request.priority(), kind);
        }
    }

    /**
     * Refuses the request without sending it; earlier attempts may have been sent.
     *
     * @param cause reason for the refusal
     * @param retryAfterMillis delay after which a retry may succeed, in milliseconds
     */
    record Refuse(DispatchRequest request, RefusalCause cause, long retryAfterMillis) implements Decision {}
}
