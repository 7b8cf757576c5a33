package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.dispatch.PermitIssuer;
import org.lacewingthread.core.dispatch.PermitRequest;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Asks the leader for permits for requests to limited servers, and issues them while this process leads. An
 * answer that is lost isn't asked for again; the dispatcher notices that it is overdue. Runs on the control thread unless
 * stated otherwise.
 */
final class LimitExchange {
    private final String vm;
    private final EventLoop eventLoop;
    private final LongSupplier clockMillis;
    private final EventLog events;
    private final RouterMetrics metrics;
    private final BooleanSupplier isLeading;
    private final Consumer<ObjectNode> leaderSender;
    private final AnswerListener answerListener;
    private PermitIssuer issuer = new PermitIssuer();
    private boolean wasLeading;

    /** Receives the leader's answers. */
    interface AnswerListener {
        /** Called with the answer to the request of a number for a server. */
        void onPermit(long number, ServerStart server, PermitIssuer.Permit permit);
    }

    /**
     * Creates an exchange.
     *
     * @param isLeading returns whether this process leads
     * @param leaderSender sends a message to the leader, or drops it if none is known
     * @param answerListener receives the leader's answers
     */
    LimitExchange(
            String vm,
            EventLoop eventLoop,
            LongSupplier clockMillis,
            EventLog events,
            RouterMetrics metrics,
            BooleanSupplier isLeading,
            Consumer<ObjectNode> leaderSender,
            AnswerListener answerListener) {
        this.vm = vm;
        this.eventLoop = eventLoop;
        this.clockMillis = clockMillis;
        this.events = events;
        this.metrics = metrics;
        this.isLeading = isLeading;
        this.leaderSender = leaderSender;
        this.answerListener = answerListener;
    }

    /** Asks for a permit; may be called on any thread. */
    void ask(PermitRequest request) {
        eventLoop.execute(() -> {
            if (isLeading.getAsBoolean()) {
                answerListener.onPermit(request.number(), request.server(), issue(vm, request));
            } else {
                leaderSender.accept(PermitMessages.encodeRequest(vm, request));
            }
        });
    }

    /** Tells the leader that a server no longer names a limit; may be called on any thread. */
    void onLimitEnded(ServerStart server) {
        eventLoop.execute(() -> {
            if (isLeading.getAsBoolean()) {
                currentIssuer().onLimitEnded(server, clockMillis.getAsLong());
            } else {
                leaderSender.accept(PermitMessages.encodeLimitEnded(vm, server));
            }
        });
    }

    /**
     * Handles a datagram if it is about a limit; returns whether it is.
     *
     * @param reply sends an answer to the sender of the datagram
     * @throws IllegalArgumentException if the content is not valid
     */
    boolean onMessage(JsonNode message, Consumer<ObjectNode> reply) {
        if (PermitMessages.isAnswer(message)) {
            answerListener.onPermit(
                    PermitMessages.answeredNumber(message),
                    PermitMessages.server(message),
                    PermitMessages.decodeAnswer(message));
        } else if (PermitMessages.isRequest(message)) {
            if (isLeading.getAsBoolean()) {
                PermitRequest request = PermitMessages.decodeRequest(message);
                PermitIssuer.Permit permit = issue(message.path("vm").asText(), request);
                reply.accept(PermitMessages.encodeAnswer(request, permit));
            }
        } else if (PermitMessages.isLimitEnded(message)) {
            currentIssuer().onLimitEnded(PermitMessages.server(message), clockMillis.getAsLong());
        } else {
            return false;
        }
        return true;
    }

    private PermitIssuer.Permit issue(String askingVm, PermitRequest request) {
        PermitIssuer.Permit permit = currentIssuer().issue(request, clockMillis.getAsLong());
        metrics.onPermit(permit.outcome());
        events.write(
                "limit.decided",
                "vm",
                askingVm,
                "request_number",
                request.number(),
                "server",
                request.server(),
                "per_second",
                request.limit().perSecond(),
                "kind",
                request.kind(),
                "named_ago_ms",
                request.namedAgoMillis(),
                "priority",
                request.priority(),
                "outcome",
                permit.outcome(),
                "retry_after_ms",
                permit.retryAfterMillis());
        return permit;
    }

    /** Returns the limits in force that keys are to be moved for, in requests a second. */
    Map<ServerStart, Double> settledLimitsPerSecond() {
        return currentIssuer().settledLimitsPerSecond(clockMillis.getAsLong());
    }

    /** Returns the issuer of this term; permits that were saved up in an earlier one don't count. */
    private PermitIssuer currentIssuer() {
        boolean leading = isLeading.getAsBoolean();
        if (leading && !wasLeading) {
            issuer = new PermitIssuer();
        }
        wasLeading = leading;
        return issuer;
    }
}
