package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingthread.core.dispatch.LimitKind;
import org.lacewingthread.core.dispatch.NamedLimit;
import org.lacewingthread.core.dispatch.PermitIssuer;
import org.lacewingthread.core.dispatch.PermitRequest;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

/** Encodes and decodes the datagrams about requests to limited servers. */
final class PermitMessages {
    private static final String REQUEST = "permitRequest";
    private static final String ANSWER = "permitAnswer";
    private static final String ENDED = "limitEnded";
    /** Also present in reports, so that a leader of an earlier build counts the sender as alive. */
    private static final String VM = "vm";

    private static final String SERVER = "server";
    private static final String SERVER_START = "serverStart";
    private static final String LIMIT = "limitPerSecond";
    private static final String NAMED_AGO = "namedAgoMillis";
    private static final String PRIORITY = "priority";
    /** Missing in messages of earlier builds, which know limits that servers name only. */
    private static final String KIND = "limitKind";

    private static final String OUTCOME = "outcome";
    private static final String RETRY_AFTER = "retryAfterMillis";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PermitMessages() {}

    static boolean isRequest(JsonNode message) {
        return message.has(REQUEST);
    }

    static boolean isAnswer(JsonNode message) {
        return message.has(ANSWER);
    }

    static boolean isLimitEnded(JsonNode message) {
        return message.has(ENDED);
    }

    static ObjectNode encodeRequest(String vm, PermitRequest request) {
        return withServer(MAPPER.createObjectNode(), request.server())
                .put(REQUEST, request.number())
                .put(VM, vm)
                .put(LIMIT, request.limit().perSecond())
                .put(NAMED_AGO, request.namedAgoMillis())
                .put(PRIORITY, request.priority())
                .put(KIND, request.kind().name());
    }

    /**
     * Decodes a request.
     *
     * @throws IllegalArgumentException if the server, the limit or its kind is not valid
     */
    static PermitRequest decodeRequest(JsonNode message) {
        return new PermitRequest(
                message.path(REQUEST).asLong(),
                server(message),
                new NamedLimit(message.path(LIMIT).asDouble(Double.NaN)),
                message.path(NAMED_AGO).asLong(),
                message.path(PRIORITY).asInt(),
                LimitKind.valueOf(message.path(KIND).asText(LimitKind.NAMED.name())));
    }

    static ObjectNode encodeAnswer(PermitRequest request, PermitIssuer.Permit permit) {
        return withServer(MAPPER.createObjectNode(), request.server())
                .put(ANSWER, request.number())
                .put(OUTCOME, permit.outcome().name())
                .put(RETRY_AFTER, permit.retryAfterMillis());
    }

    static long answeredNumber(JsonNode message) {
        return message.path(ANSWER).asLong();
    }

    /**
     * Decodes an answer.
     *
     * @throws IllegalArgumentException if the outcome is not known
     */
    static PermitIssuer.Permit decodeAnswer(JsonNode message) {
        return new PermitIssuer.Permit(
                PermitIssuer.Outcome.valueOf(message.path(OUTCOME).asText()),
                message.path(RETRY_AFTER).asLong());
    }

    static ObjectNode encodeLimitEnded(String vm, ServerStart server) {
        return withServer(MAPPER.createObjectNode(), server).put(ENDED, true).put(VM, vm);
    }

    /**
     * Returns the server that a message is about.
     *
     * @throws IllegalArgumentException if the server's id is not valid
     */
    static ServerStart server(JsonNode message) {
        return new ServerStart(
                new ServerId(message.path(SERVER).asText()),
                message.path(SERVER_START).asLong());
    }

    private static ObjectNode withServer(ObjectNode message, ServerStart server) {
        return message.put(SERVER, server.server().value()).put(SERVER_START, server.startedUnixMillis());
    }
}
