package org.lacewingthread.daemon.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.lacewingthread.core.dispatch.CandidateDescription;
import org.lacewingthread.core.dispatch.DispatchDescription;
import org.lacewingthread.core.dispatch.RefusalCause;
import org.lacewingthread.core.explain.RouteExplanation;
import org.lacewingthread.core.explain.RouteQuestion;
import org.lacewingthread.core.explain.ViewAges;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.serving.RouteResolution;
import org.lacewingthread.core.traffic.ResultCode;

/** Formats explanations of routes as text for operators. */
public final class RouteExplanationText {
    private RouteExplanationText() {}

    /** Returns the text, one fact a line. */
    public static String of(RouteExplanation explanation) {
        List<String> lines = new ArrayList<>();
        RouteQuestion question = explanation.question();
        lines.add(question.method() + " " + question.host() + question.path()
                + (question.key().isPresent() ? ", key " + question.key().getAsInt() : "")
                + (question.deadlineMillis().isPresent()
                        ? ", deadline " + question.deadlineMillis().getAsLong() + " ms"
                        : ""));
        lines.add("decision: " + decision(explanation));
        addRoute(explanation, lines);
        explanation.dispatch().ifPresent(dispatch -> addOwner(explanation.resolution(), dispatch, lines));
        lines.add("known here: " + ages(explanation.ages()));
        explanation.notes().forEach(note -> lines.add("note: " + note));
        explanation.dispatch().ifPresent(dispatch -> addCandidates(dispatch, lines));
        return String.join("\n", lines) + "\n";
    }

    private static String decision(RouteExplanation explanation) {
        if (explanation.relayed()) {
            return "another entry VM is asked to send it, since this one can't ("
                    + explanation.dispatch().flatMap(DispatchDescription::cause).orElseThrow() + ")";
        }
        if (explanation.refusal().isPresent()) {
            String cause = explanation
                    .dispatch()
                    .flatMap(DispatchDescription::cause)
                    .map(RefusalCause::name)
                    .orElseGet(() -> reason(explanation));
            return "refused with " + status(explanation.refusal().get()) + " (" + cause + "), "
                    + (explanation.retryAfterMillis().isPresent()
                            ? "Retry-After about "
                                    + seconds(explanation.retryAfterMillis().getAsLong())
                            : "no Retry-After");
        }
        DispatchDescription dispatch = explanation.dispatch().orElseThrow();
        String server = dispatch.server().map(Object::toString).orElse("");
        return switch (dispatch.outcome()) {
            case SEND -> "sent to " + server + ", response expected in " + dispatch.expectedMillis() + " ms";
            case ASK_LEADER -> "the leader is asked whether it may be sent to " + server + ", which is limited";
            case WAIT -> "waits" + dispatch.server().map(name -> " for " + name).orElse("") + " behind "
                    + dispatch.waitingBefore() + " others; refused with "
                    + status(explanation.refusalAfterWait().orElseThrow()) + " ("
                    + dispatch.cause().orElseThrow() + ") if that doesn't end in time";
            case REFUSE -> throw new IllegalStateException("a refusal without code: " + dispatch);
        };
    }

    private static String status(ResultCode code) {
        return code.httpStatus() + ", code " + code.number();
    }

    private static String reason(RouteExplanation explanation) {
        RouteQuestion question = explanation.question();
        ResultCode code = explanation.refusal().orElseThrow();
        return switch (code) {
            case NOT_READY -> "this VM has read no configuration yet";
            case NO_SELECTOR -> "no route for host \"" + question.host() + "\" and path \"" + question.path() + "\"";
            case KEY_MISSING -> "the request has no key, which service \""
                    + explanation.resolution().service().orElseThrow() + "\" needs; give --key or key=N";
            default -> code.message();
        };
    }

    private static void addRoute(RouteExplanation explanation, List<String> lines) {
        OptionalLong version = explanation.configurationVersion();
        lines.add("configuration: " + (version.isPresent() ? "version " + version.getAsLong() : "none"));
        RouteResolution resolution = explanation.resolution();
        if (resolution.route().isEmpty()) {
            return;
        }
        Route route = resolution.route().get();
        ServiceId service = resolution.service().orElseThrow();
        lines.add("route: " + route.name() + ", host " + route.host() + ", path " + route.pathPrefix() + ", timeout "
                + route.timeoutMillis() + " ms, target " + route.targetLatencyMillis() + " ms, priority "
                + route.priority() + ", up to " + route.maxAttempts() + " attempts, "
                + route.repeatability().name().toLowerCase(Locale.ROOT));
        lines.add("split: "
                + route.parts().stream()
                        .map(part -> part.service() + " " + part.weight()
                                + (part.service().equals(service) ? " (takes this one)" : ""))
                        .collect(Collectors.joining(", ")));
        lines.add("service: " + service + (resolution.keyed() ? ", each key has one owner" : ", any server"));
    }

    private static void addOwner(RouteResolution resolution, DispatchDescription dispatch, List<String> lines) {
        if (resolution.key().isPresent()) {
            lines.add("owner: "
                    + dispatch.ownership()
                            .map(known ->
                                    known.owner() + ", keys " + known.range().firstKey() + " to "
                                            + known.range().lastKey()
                                            + known.movingFrom()
                                                    .map(former -> ", moving there from " + former)
                                                    .orElse(""))
                            .orElse("none is known for key " + resolution.key().getAsInt()));
        }
    }

    private static String ages(ViewAges ages) {
        return "registry "
                + (ages.registryMillis().isPresent() ? ages.registryMillis().getAsLong() + " ms old" : "never read")
                + (ages.evacuationsMillis().isPresent()
                        ? ", evacuations " + ages.evacuationsMillis().getAsLong() + " ms old"
                        : "");
    }

    private static void addCandidates(DispatchDescription dispatch, List<String> lines) {
        lines.add("servers: " + (dispatch.candidates().size() + dispatch.unlistedCandidates()));
        dispatch.candidates().forEach(candidate -> lines.add("  " + candidate(candidate)));
        if (dispatch.unlistedCandidates() > 0) {
            lines.add("  and " + dispatch.unlistedCandidates() + " more");
        }
    }

    private static String candidate(CandidateDescription candidate) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%s in %s: %s; %d slots, %d requests from here, %.1f from others (%s); %.0f ms a request, now %.0f ms; "
                        + "response in %.0f ms",
                candidate.server(),
                candidate.dataCentre(),
                candidate.state().meaning(),
                candidate.slots(),
                candidate.inFlight(),
                candidate.otherVmsLoad(),
                candidate.loadAgeMillis().isPresent()
                        ? "reported " + candidate.loadAgeMillis().getAsLong() + " ms ago"
                        : "no report",
                candidate.serviceMillis(),
                candidate.currentServiceMillis(),
                candidate.expectedMillis()));
        if (candidate.restMillis() > 0) {
            text.append("; rests ").append(candidate.restMillis()).append(" ms");
        }
        if (candidate.cold()) {
            text.append("; cold");
        }
        candidate
                .coldPerSecond()
                .ifPresent(rate -> text.append(" at ").append(rate).append("/s"));
        candidate
                .namedPerSecond()
                .ifPresent(rate -> text.append("; limit ").append(rate).append("/s"));
        candidate.acceptsForMillis().ifPresent(left -> text.append("; takes its keys for ")
                .append(left)
                .append(" ms"));
        return text.toString();
    }

    private static String seconds(long millis) {
        return String.format(Locale.ROOT, "%.3f s", millis / 1e3);
    }
}
