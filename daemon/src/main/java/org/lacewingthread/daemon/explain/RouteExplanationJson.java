package org.lacewingthread.daemon.explain;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;
import org.lacewingthread.core.dispatch.CandidateDescription;
import org.lacewingthread.core.dispatch.DispatchDescription;
import org.lacewingthread.core.explain.RouteExplanation;
import org.lacewingthread.core.explain.RouteQuestion;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.traffic.ResultCode;

/** Formats explanations of routes as JSON for scripts. */
public final class RouteExplanationJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RouteExplanationJson() {}

    /** Returns one JSON object; what isn't known is left out. */
    public static String of(RouteExplanation explanation) {
        ObjectNode root = MAPPER.createObjectNode();
        RouteQuestion question = explanation.question();
        ObjectNode request = root.putObject("request");
        request.put("method", question.method()).put("host", question.host()).put("path", question.path());
        question.key().ifPresent(key -> request.put("key", key));
        put(request, "deadline_ms", question.deadlineMillis());
        put(root, "configuration_version", explanation.configurationVersion());
        explanation.resolution().route().ifPresent(route -> addRoute(root, route));
        explanation.resolution().service().ifPresent(service -> root.put("service", service.value())
                .put("keyed", explanation.resolution().keyed()));
        root.put("outcome", outcome(explanation));
        explanation.refusal().ifPresent(code -> addRefusal(root.putObject("refusal"), code)
                .put("retry_after_ms", explanation.retryAfterMillis().orElse(0)));
        explanation.refusalAfterWait().ifPresent(code -> addRefusal(root.putObject("refusal_after_wait"), code));
        explanation.dispatch().ifPresent(dispatch -> addDispatch(root, dispatch));
        ObjectNode ages = root.putObject("ages");
        put(ages, "registry_ms", explanation.ages().registryMillis());
        put(ages, "evacuations_ms", explanation.ages().evacuationsMillis());
        ArrayNode notes = root.putArray("notes");
        explanation.notes().forEach(notes::add);
        return root.toString();
    }

    private static String outcome(RouteExplanation explanation) {
        if (explanation.relayed()) {
            return "RELAY";
        }
        return explanation.dispatch().map(dispatch -> dispatch.outcome().name()).orElse("REFUSE");
    }

    private static ObjectNode addRefusal(ObjectNode node, ResultCode code) {
        return node.put("status", code.httpStatus()).put("code", code.number()).put("message", code.message());
    }

    private static void addRoute(ObjectNode root, Route route) {
        ObjectNode node = root.putObject("route");
        node.put("name", route.name())
                .put("host", route.host())
                .put("path", route.pathPrefix())
                .put("timeout_ms", route.timeoutMillis())
                .put("target_ms", route.targetLatencyMillis())
                .put("priority", route.priority())
                .put("max_attempts", route.maxAttempts())
                .put("repeatability", route.repeatability().name());
        ArrayNode split = node.putArray("split");
        route.parts()
                .forEach(part ->
                        split.addObject().put("service", part.service().value()).put("weight", part.weight()));
    }

    private static void addDispatch(ObjectNode root, DispatchDescription dispatch) {
        dispatch.cause().ifPresent(cause -> root.put("cause", cause.name()));
        dispatch.server().ifPresent(server -> root.put("server", server.toString())
                .put("expected_ms", dispatch.expectedMillis()));
        root.put("waiting_before", dispatch.waitingBefore());
        dispatch.ownership().ifPresent(known -> {
            ObjectNode owner = root.putObject("owner");
            owner.put("server", known.owner().toString())
                    .put("first_key", known.range().firstKey())
                    .put("last_key", known.range().lastKey());
            known.movingFrom().ifPresent(former -> owner.put("moving_from", former.toString()));
        });
        ArrayNode candidates = root.putArray("candidates");
        dispatch.candidates().forEach(candidate -> addCandidate(candidates.addObject(), candidate));
        root.put("candidates_unlisted", dispatch.unlistedCandidates());
    }

    private static void addCandidate(ObjectNode node, CandidateDescription candidate) {
        node.put("server", candidate.server().toString())
                .put("data_centre", candidate.dataCentre().value())
                .put("state", candidate.state().name())
                .put("slots", candidate.slots())
                .put("in_flight", candidate.inFlight())
                .put("others", candidate.otherVmsLoad())
                .put("service_ms", candidate.serviceMillis())
                .put("service_now_ms", candidate.currentServiceMillis())
                .put("expected_ms", candidate.expectedMillis())
                .put("rest_ms", candidate.restMillis())
                .put("cold", candidate.cold());
        put(node, "load_age_ms", candidate.loadAgeMillis());
        put(node, "accepts_keys_ms", candidate.acceptsForMillis());
        candidate.coldPerSecond().ifPresent(rate -> node.put("cold_per_s", rate));
        candidate.namedPerSecond().ifPresent(rate -> node.put("limit_per_s", rate));
    }

    private static void put(ObjectNode node, String name, OptionalLong value) {
        value.ifPresent(present -> node.put(name, present));
    }
}
