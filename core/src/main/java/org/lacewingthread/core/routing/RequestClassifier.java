package org.lacewingthread.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.RequestSelector;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.traffic.ResultCode;

/**
 * Determines the application, the selector and the key of a request. Compiled once from a configuration;
 * immutable, so that all traffic threads may share an instance.
 *
 * <pre>{@code
 * RequestClassifier classifier = RequestClassifier.compile(state.configuration());
 * Classification found = classifier.classify("GET", "/rugs/4711", "", headers::getFirst, null);
 * if (found instanceof Classification.Matched matched) {
 *     ShardTable table = state.shardTable(matched.application());
 *     ShardTable.Entry entry = table.entry(table.indexOf(matched.keyHash()));
 * }
 * }</pre>
 *
 * <p>Among the selectors that match path and method, the one with the longest prefix applies. A prefix
 * matches whole segments: {@code /rugs} matches {@code /rugs} and {@code /rugs/4711}, not {@code /rugsale}.
 */
public final class RequestClassifier {
    private static final int MAX_KEY_LENGTH_CHARS = 1024;

    private record Rule(ApplicationId application, RequestSelector selector) {
        boolean matches(String method, String path) {
            return RequestTarget.isUnder(path, selector.pathPrefix())
                    && (selector.methods().isEmpty() || selector.methods().contains(method));
        }
    }

    private final Rule[] rules;
    private final Map<String, Rule[]> rulesByApplication;

    private RequestClassifier(Rule[] rules, Map<String, Rule[]> rulesByApplication) {
        this.rules = rules;
        this.rulesByApplication = rulesByApplication;
    }

    /** Returns a classifier for the selectors of a configuration. */
    public static RequestClassifier compile(RoutingConfiguration configuration) {
        List<Rule> all = new ArrayList<>();
        Map<String, Rule[]> byApplication = new HashMap<>();
        for (ApplicationSpec application : configuration.applications()) {
            List<Rule> own = application.selectors().stream()
                    .map(selector -> new Rule(application.id(), selector))
                    .toList();
            all.addAll(own);
            byApplication.put(application.id().value(), longestFirst(own));
        }
        return new RequestClassifier(longestFirst(all), byApplication);
    }

    private static Rule[] longestFirst(List<Rule> rules) {
        Comparator<Rule> byLength =
                Comparator.comparingInt(rule -> rule.selector().pathPrefix().length());
        return rules.stream().sorted(byLength.reversed()).toArray(Rule[]::new);
    }

    /**
     * Finds the selector that matches a request, and extracts the request's key.
     *
     * @param method HTTP method of the request
     * @param path path as received, not percent-decoded
     * @param query query as received, without the question mark; may be empty
     * @param header returns the value of a header, or null if it is absent
     * @param application application that the request names, or null if it names none; only its selectors are tried
     */
    public Classification classify(
            String method, String path, String query, Function<String, String> header, String application) {
        String canonical = RequestTarget.canonicalPath(path);
        if (canonical == null) {
            return new Classification.Refused(
                    ResultCode.NO_SELECTOR,
                    "path \"" + path + "\" is ambiguous; send it without empty or dot segments and escaped separators");
        }
        Rule[] candidates = application == null ? rules : rulesByApplication.get(application);
        if (candidates == null) {
            return new Classification.Refused(
                    ResultCode.UNKNOWN_APPLICATION, "application \"" + application + "\" is not configured");
        }
        for (Rule rule : candidates) {
            if (rule.matches(method, canonical)) {
                return matchWithKey(rule, canonical, query, header);
            }
        }
        return new Classification.Refused(
                ResultCode.NO_SELECTOR, "no selector matches " + method + " \"" + path + "\"");
    }

    private static Classification matchWithKey(Rule rule, String path, String query, Function<String, String> header) {
        String key = extractKey(rule.selector().key(), path, query, header);
        if (key == null || key.isEmpty()) {
            return new Classification.Refused(
                    ResultCode.KEY_MISSING,
                    "the request carries no " + describe(rule.selector().key()));
        }
        if (key.length() > MAX_KEY_LENGTH_CHARS) {
            return new Classification.Refused(
                    ResultCode.KEY_MISSING, "the key is longer than " + MAX_KEY_LENGTH_CHARS + " characters");
        }
        return new Classification.Matched(rule.application(), rule.selector(), key, KeyHash.of(key));
    }

    private static String extractKey(KeySource source, String path, String query, Function<String, String> header) {
        return switch (source.kind()) {
            case PATH_SEGMENT -> RequestTarget.pathSegment(path, Integer.parseInt(source.name()));
            case HEADER -> header.apply(source.name());
            case QUERY_PARAMETER -> RequestTarget.queryParameter(query, source.name());
        };
    }

    private static String describe(KeySource source) {
        return switch (source.kind()) {
            case PATH_SEGMENT -> "path segment " + source.name();
            case HEADER -> "header \"" + source.name() + "\"";
            case QUERY_PARAMETER -> "single query parameter \"" + source.name() + "\"";
        };
    }
}
