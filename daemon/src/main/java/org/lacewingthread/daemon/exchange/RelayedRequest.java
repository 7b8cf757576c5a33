package org.lacewingthread.daemon.exchange;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.Repeatability;

/**
 * A caller's complete request that one router asks another one to send to a server, together with the decisions of the
 * route that the first router found. Times are on the monotonic clock of the router that holds the record.
 *
 * @param requestId id of the caller's attempt
 * @param service service that runs the request
 * @param key key, if each key of the service has one owning server
 * @param route name of the route, for logs
 * @param repeatability whether the request may run more than once
 * @param priority priority; 0 is the most urgent
 * @param maxAttempts servers that the request may still be sent to
 * @param deadlineMillis time after which the first router no longer waits
 * @param targetAtMillis time up to which a response is prompt
 * @param targetLatencyMillis latency up to which a response of the route is prompt
 * @param method HTTP method
 * @param target request target
 * @param headers header fields to send to the server
 * @param body the complete body; must not be modified
 * @param avoidedServers servers that the request was sent to already, or that want no requests of the first router
 */
@SuppressWarnings("ArrayRecordComponent")
public record RelayedRequest(
        String requestId,
        ServiceId service,
        OptionalInt key,
        String route,
        Repeatability repeatability,
        int priority,
        int maxAttempts,
        long deadlineMillis,
        long targetAtMillis,
        long targetLatencyMillis,
        String method,
        String target,
        List<HeaderField> headers,
        byte[] body,
        Set<ServerId> avoidedServers) {
    /**
     * Copies the headers and the avoided servers.
     *
     * @throws IllegalArgumentException if no attempt is left or the target latency is not positive
     */
    public RelayedRequest {
        if (maxAttempts < 1 || targetLatencyMillis < 1) {
            throw new IllegalArgumentException("relayed request \"" + requestId + "\" has " + maxAttempts
                    + " attempts and a target latency of " + targetLatencyMillis + " ms; both must be positive");
        }
        headers = List.copyOf(headers);
        avoidedServers = Set.copyOf(avoidedServers);
    }

    /** Processes relayed requests. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Starts processing a request and returns without blocking.
         *
         * @param sink receives the response or the failure
         * @return cancels the request
         */
        RequestHandler.Cancellation handle(RelayedRequest request, ResponseSink sink);
    }
}
