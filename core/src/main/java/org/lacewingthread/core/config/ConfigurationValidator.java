package org.lacewingthread.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.lacewingthread.core.id.DataCentreId;

/**
 * Validates a configuration as a whole; the single parts are validated by their constructors.
 *
 * <pre>{@code
 * List<ConfigurationValidator.Problem> problems = ConfigurationValidator.validate(next, inForce);
 * boolean publishable = problems.stream().noneMatch(ConfigurationValidator.Problem::isError);
 * }</pre>
 *
 * <p>A configuration with an error is not published, and every replica rejects its record. A problem that is no
 * error is a warning, shown to the operator.
 */
public final class ConfigurationValidator {
    private static final int MAX_PREFIX_LENGTH_CHARS = 512;
    private static final Pattern HTTP_TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern HTTP_METHOD = Pattern.compile("[A-Z]+");
    private static final Pattern CANONICAL_PREFIX = Pattern.compile("(/[A-Za-z0-9_~!$&'()*+,=:@.-]*)+");
    private static final Pattern IP_ADDRESS =
            Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*");

    private final RoutingConfiguration configuration;
    private final RoutingConfiguration previous;
    private final List<Problem> problems = new ArrayList<>();

    private ConfigurationValidator(RoutingConfiguration configuration, RoutingConfiguration previous) {
        this.configuration = configuration;
        this.previous = previous;
    }

    /** Kind of a problem. */
    public enum Kind {
        /** Two applications have the same id. */
        DUPLICATE_APPLICATION(true),
        /** Two servers have the same id. */
        DUPLICATE_SERVER(true),
        /** Two selectors of an application have the same name. */
        DUPLICATE_SELECTOR(true),
        /** Two servers listen on the same host and port. */
        DUPLICATE_ADDRESS(true),
        /** A server or group names a label twice. */
        DUPLICATE_LABEL(true),
        /** Two selectors match the same prefix and method. */
        AMBIGUOUS_SELECTORS(true),
        /** The number of shards differs from the previous configuration. */
        SHARD_COUNT_CHANGED(true),
        /** A selector's method is not a valid HTTP method. */
        BAD_METHOD(true),
        /** A selector's path prefix cannot match any request path. */
        BAD_PREFIX(true),
        /** A selector's header name is not a valid HTTP header name. */
        BAD_HEADER_NAME(true),
        /** An application has no selector. */
        NO_SELECTORS(false),
        /** A group selects no server in a data centre that has servers. */
        EMPTY_GROUP(false),
        /** A server's host is not an IP address. */
        HOST_NOT_IP_ADDRESS(false),
        /** A server accepts fewer connections than it has slots. */
        FEWER_CONNECTIONS_THAN_SLOTS(false);

        private final boolean error;

        Kind(boolean error) {
            this.error = error;
        }

        /** Returns whether a configuration with a problem of this kind is rejected. */
        public boolean isError() {
            return error;
        }
    }

    /**
     * A problem of one field.
     *
     * @param kind kind of the problem
     * @param path path of the field, for example {@code applications[1].selectors[0].pathPrefix}
     * @param value the offending value
     * @param suggestion what is wrong with the value and how to correct it
     */
    public record Problem(Kind kind, String path, String value, String suggestion) {
        /** Returns whether the problem prevents the configuration from being published. */
        public boolean isError() {
            return kind.isError();
        }

        @Override
        public String toString() {
            return path + ": \"" + value + "\" " + suggestion;
        }
    }

    /**
     * Returns all problems of a configuration: those of applications, then of selectors that overlap, then of servers.
     *
     * @param configuration configuration to validate
     * @param previous configuration that it is to replace
     */
    public static List<Problem> validate(RoutingConfiguration configuration, RoutingConfiguration previous) {
        ConfigurationValidator validator = new ConfigurationValidator(configuration, previous);
        validator.checkApplications();
        validator.checkAmbiguousSelectors();
        validator.checkServers();
        return List.copyOf(validator.problems);
    }

    private void addProblem(Kind kind, String path, Object value, String suggestion) {
        problems.add(new Problem(kind, path, String.valueOf(value), suggestion));
    }

    private void checkApplications() {
        List<ApplicationSpec> applications = configuration.applications();
        checkUnique(applications, ApplicationSpec::id, Kind.DUPLICATE_APPLICATION, "applications", "id");
        for (int i = 0; i < applications.size(); i++) {
            checkApplication("applications[" + i + "]", applications.get(i));
        }
    }

    private void checkApplication(String path, ApplicationSpec application) {
        checkShardCount(path, application);
        checkUnique(application.group(), Label::name, Kind.DUPLICATE_LABEL, path + ".group", "name");
        checkGroup(path, application);
        List<RequestSelector> selectors = application.selectors();
        checkUnique(selectors, RequestSelector::name, Kind.DUPLICATE_SELECTOR, path + ".selectors", "name");
        if (selectors.isEmpty()) {
            addProblem(Kind.NO_SELECTORS, path + ".selectors", "[]", "matches no request; add a selector");
        }
        for (int i = 0; i < selectors.size(); i++) {
            checkSelector(path + ".selectors[" + i + "]", selectors.get(i));
        }
    }

    private void checkShardCount(String path, ApplicationSpec application) {
        previous.application(application.id())
                .filter(old -> old.shardCount() != application.shardCount())
                .ifPresent(old -> addProblem(
                        Kind.SHARD_COUNT_CHANGED,
                        path + ".shardCount",
                        application.shardCount(),
                        "is fixed for the application's life; set it back to " + old.shardCount()));
    }

    private void checkGroup(String path, ApplicationSpec application) {
        TreeSet<DataCentreId> dataCentresWithoutServer = new TreeSet<>();
        configuration.servers().forEach(server -> dataCentresWithoutServer.add(server.dataCentre()));
        configuration
                .eligibleServers(application)
                .forEach(server -> dataCentresWithoutServer.remove(server.dataCentre()));
        for (DataCentreId dataCentre : dataCentresWithoutServer) {
            addProblem(
                    Kind.EMPTY_GROUP,
                    path + ".group",
                    application.group(),
                    "selects no server in data centre \"" + dataCentre + "\"; label one if it is to own shards");
        }
    }

    private void checkSelector(String path, RequestSelector selector) {
        for (int i = 0; i < selector.methods().size(); i++) {
            String method = selector.methods().get(i);
            if (!HTTP_METHOD.matcher(method).matches()) {
                addProblem(
                        Kind.BAD_METHOD,
                        path + ".methods[" + i + "]",
                        method,
                        "is no HTTP method; write it like \"GET\"");
            }
        }
        if (!isCanonicalPrefix(selector.pathPrefix())) {
            addProblem(
                    Kind.BAD_PREFIX,
                    path + ".pathPrefix",
                    selector.pathPrefix(),
                    "matches no path; write it without query, escapes, empty segments, \".\" and \"..\"");
        }
        KeySource key = selector.key();
        if (key.kind() == KeySource.Kind.HEADER
                && !HTTP_TOKEN.matcher(key.name()).matches()) {
            addProblem(
                    Kind.BAD_HEADER_NAME,
                    path + ".key.name",
                    key.name(),
                    "is no HTTP header name; use letters and hyphens");
        }
    }

    private static boolean isCanonicalPrefix(String prefix) {
        return prefix.length() <= MAX_PREFIX_LENGTH_CHARS
                && CANONICAL_PREFIX.matcher(prefix).matches()
                && !prefix.contains("//")
                && !(prefix + "/").contains("/./")
                && !(prefix + "/").contains("/../");
    }

    /** Compares each selector with all earlier ones, across applications. */
    private void checkAmbiguousSelectors() {
        Map<String, List<RequestSelector>> seenByPrefix = new HashMap<>();
        for (int i = 0; i < configuration.applications().size(); i++) {
            List<RequestSelector> selectors =
                    configuration.applications().get(i).selectors();
            for (int j = 0; j < selectors.size(); j++) {
                RequestSelector selector = selectors.get(j);
                List<RequestSelector> seen = seenByPrefix.computeIfAbsent(
                        withTrailingSlash(selector.pathPrefix()), prefix -> new ArrayList<>());
                String path = "applications[" + i + "].selectors[" + j + "].pathPrefix";
                seen.stream()
                        .filter(other -> methodsOverlap(selector, other))
                        .findFirst()
                        .ifPresent(other -> addProblem(
                                Kind.AMBIGUOUS_SELECTORS,
                                path,
                                selector.pathPrefix(),
                                "matches the same prefix and method as selector \"" + other.name()
                                        + "\"; change the prefix or the methods of one"));
                seen.add(selector);
            }
        }
    }

    private static String withTrailingSlash(String prefix) {
        return prefix.endsWith("/") ? prefix : prefix + "/";
    }

    private static boolean methodsOverlap(RequestSelector a, RequestSelector b) {
        return a.methods().isEmpty()
                || b.methods().isEmpty()
                || a.methods().stream().anyMatch(b.methods()::contains);
    }

    private void checkServers() {
        List<ServerSpec> servers = configuration.servers();
        checkUnique(servers, ServerSpec::id, Kind.DUPLICATE_SERVER, "servers", "id");
        checkUnique(servers, s -> s.host() + ":" + s.port(), Kind.DUPLICATE_ADDRESS, "servers", "port");
        for (int i = 0; i < servers.size(); i++) {
            checkServer("servers[" + i + "]", servers.get(i));
        }
    }

    private void checkServer(String path, ServerSpec server) {
        checkUnique(server.labels(), Label::name, Kind.DUPLICATE_LABEL, path + ".labels", "name");
        if (!IP_ADDRESS.matcher(server.host()).matches()) {
            addProblem(
                    Kind.HOST_NOT_IP_ADDRESS,
                    path + ".host",
                    server.host(),
                    "is no IP address; give the server's address");
        }
        if (server.maxConnections() < server.slots()) {
            addProblem(
                    Kind.FEWER_CONNECTIONS_THAN_SLOTS,
                    path + ".maxConnections",
                    server.maxConnections(),
                    "leaves some of the " + server.slots() + " slots unused; allow at least as many connections");
        }
    }

    private <T, K> void checkUnique(List<T> elements, Function<T, K> key, Kind kind, String path, String field) {
        Map<K, Integer> firstIndexes = new HashMap<>();
        for (int i = 0; i < elements.size(); i++) {
            K value = key.apply(elements.get(i));
            Integer first = firstIndexes.putIfAbsent(value, i);
            if (first != null) {
                addProblem(
                        kind,
                        path + "[" + i + "]." + field,
                        value,
                        "is used by " + path + "[" + first + "] already; choose another");
            }
        }
    }
}
