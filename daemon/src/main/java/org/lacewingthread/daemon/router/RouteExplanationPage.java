package org.lacewingthread.daemon.router;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.lacewingthread.core.explain.RouteExplanation;
import org.lacewingthread.core.explain.RouteQuestion;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.explain.RouteExplanationJson;
import org.lacewingthread.daemon.explain.RouteExplanationText;

/**
 * Shows operators where a request would go now.
 *
 * <pre>
 * GET /explain/route?host=HOST&amp;path=PATH[&amp;method=GET][&amp;key=N][&amp;deadline_ms=N][&amp;format=json]
 * </pre>
 *
 * <p>The answer is computed on the traffic thread, which owns the state. Few questions may wait there at a time.
 */
final class RouteExplanationPage {
    static final String PATH = "/explain/route";
    static final int MAX_WAITING = 4;
    private static final String FORMAT = "format";
    private static final String JSON = "json";
    private static final Set<String> PARAMETERS = Set.of(
            RouteQuestion.METHOD,
            RouteQuestion.HOST,
            RouteQuestion.PATH,
            RouteQuestion.KEY,
            RouteQuestion.DEADLINE_MILLIS,
            FORMAT);

    private final RouteExplainer explainer;
    private final EventLoop trafficEventLoop;
    private final EventLog events;
    private final AtomicInteger waiting = new AtomicInteger();

    RouteExplanationPage(RouteExplainer explainer, EventLoop trafficEventLoop, EventLog events) {
        this.explainer = explainer;
        this.trafficEventLoop = trafficEventLoop;
        this.events = events;
    }

    /** Returns the page for a request; empty if its target is another page. */
    Optional<CompletionStage<StatusListener.Page>> page(HttpMethod method, String target) {
        if (!target.equals(PATH) && !target.startsWith(PATH + "?")) {
            return Optional.empty();
        }
        if (!method.equals(HttpMethod.GET)) {
            return refuse(HttpResponseStatus.METHOD_NOT_ALLOWED, "use GET to explain a route");
        }
        try {
            Map<String, String> parameters = parameters(target);
            RouteQuestion question = RouteQuestion.parse(parameters);
            return Optional.of(ask(question, isJson(parameters)));
        } catch (IllegalArgumentException e) {
            return refuse(HttpResponseStatus.BAD_REQUEST, e.getMessage());
        }
    }

    private static Optional<CompletionStage<StatusListener.Page>> refuse(HttpResponseStatus status, String reason) {
        return Optional.of(CompletableFuture.completedStage(new StatusListener.Page(status, reason + "\n")));
    }

    private static Map<String, String> parameters(String target) {
        Map<String, String> parameters = new HashMap<>();
        for (Map.Entry<String, List<String>> parameter :
                new QueryStringDecoder(target).parameters().entrySet()) {
            if (!PARAMETERS.contains(parameter.getKey())) {
                throw new IllegalArgumentException("parameter \"" + parameter.getKey() + "\" is not known; use "
                        + String.join(", ", PARAMETERS.stream().sorted().toList()));
            }
            if (parameter.getValue().size() > 1) {
                throw new IllegalArgumentException("parameter \"" + parameter.getKey() + "\" is given "
                        + parameter.getValue().size() + " times; give it once");
            }
            parameters.put(parameter.getKey(), parameter.getValue().get(0));
        }
        return parameters;
    }

    private static boolean isJson(Map<String, String> parameters) {
        String format = parameters.getOrDefault(FORMAT, "text");
        if (!format.equals("text") && !format.equals(JSON)) {
            throw new IllegalArgumentException("format \"" + format + "\" is not known; use text or json");
        }
        return format.equals(JSON);
    }

    private CompletionStage<StatusListener.Page> ask(RouteQuestion question, boolean json) {
        if (waiting.incrementAndGet() > MAX_WAITING) {
            waiting.decrementAndGet();
            return CompletableFuture.completedStage(new StatusListener.Page(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    MAX_WAITING + " questions wait already; ask again later\n"));
        }
        return CompletableFuture.supplyAsync(() -> explainer.explain(question), trafficEventLoop)
                .whenComplete((explained, failure) -> waiting.decrementAndGet())
                .thenApply(explained -> page(explained, json))
                .exceptionally(failure -> {
                    events.writeFailure("explain.failed", failure);
                    return new StatusListener.Page(
                            HttpResponseStatus.INTERNAL_SERVER_ERROR,
                            "the route can't be explained: " + failure + "\n");
                });
    }

    private static StatusListener.Page page(RouteExplanation explanation, boolean json) {
        return json
                ? new StatusListener.Page(
                        HttpResponseStatus.OK, RouteExplanationJson.of(explanation) + "\n", "application/json")
                : new StatusListener.Page(HttpResponseStatus.OK, RouteExplanationText.of(explanation));
    }
}
