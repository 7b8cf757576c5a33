package org.lacewingthread.daemon.operator.publish;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.Label;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.config.RequestSelector;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;

/**
 * JSON form of a {@link RoutingConfiguration}. Every nested record is validated when it is read, so that an error names
 * the field and its line. The component names are the field names of the file.
 *
 * @param applications the applications, empty if absent
 * @param servers the backend servers of all data centres, empty if absent
 */
record ConfigurationJson(List<ApplicationJson> applications, List<ServerJson> servers) {
    ConfigurationJson {
        applications = requireNonNullElements("applications", applications);
        servers = requireNonNullElements("servers", servers);
    }

    /** JSON form of an {@link ApplicationSpec}; labels are written as an object with one field per label. */
    record ApplicationJson(
            String id,
            int shardCount,
            PlacementProfile profile,
            Map<String, String> group,
            List<SelectorJson> selectors) {
        ApplicationJson {
            selectors = requireNonNullElements("selectors", selectors);
            toSpec(id, shardCount, profile, group, selectors);
        }

        static ApplicationJson of(ApplicationSpec spec) {
            return new ApplicationJson(
                    spec.id().value(),
                    spec.shardCount(),
                    spec.profile(),
                    fieldsOf(spec.group()),
                    spec.selectors().stream().map(SelectorJson::of).toList());
        }

        ApplicationSpec toSpec() {
            return toSpec(id, shardCount, profile, group, selectors);
        }

        private static ApplicationSpec toSpec(
                String id,
                int shardCount,
                PlacementProfile profile,
                Map<String, String> group,
                List<SelectorJson> selectors) {
            List<RequestSelector> specs =
                    selectors.stream().map(SelectorJson::toSpec).toList();
            return new ApplicationSpec(new ApplicationId(id), shardCount, profile, labelsOf(group), specs);
        }
    }

    /** JSON form of a {@link RequestSelector}. */
    record SelectorJson(String name, List<String> methods, String pathPrefix, RequestClass requestClass, KeyJson key) {
        SelectorJson {
            methods = requireNonNullElements("methods", methods);
            toSpec(name, methods, pathPrefix, requestClass, key);
        }

        static SelectorJson of(RequestSelector spec) {
            return new SelectorJson(
                    spec.name(), spec.methods(), spec.pathPrefix(), spec.requestClass(), KeyJson.of(spec.key()));
        }

        RequestSelector toSpec() {
            return toSpec(name, methods, pathPrefix, requestClass, key);
        }

        private static RequestSelector toSpec(
                String name, List<String> methods, String pathPrefix, RequestClass requestClass, KeyJson key) {
            return new RequestSelector(name, methods, pathPrefix, requestClass, key == null ? null : key.toSource());
        }
    }

    /** JSON form of a {@link KeySource}; exactly one field is given. */
    record KeyJson(Integer pathSegment, String header, String queryParameter) {
        KeyJson {
            long given = Stream.of(pathSegment, header, queryParameter)
                    .filter(part -> part != null)
                    .count();
            if (given != 1) {
                throw new IllegalArgumentException("key has " + given
                        + " sources; give exactly one of \"pathSegment\", \"header\" and \"queryParameter\"");
            }
            toSource(pathSegment, header, queryParameter);
        }

        static KeyJson of(KeySource source) {
            return switch (source.kind()) {
                case PATH_SEGMENT -> new KeyJson(Integer.valueOf(source.name()), null, null);
                case HEADER -> new KeyJson(null, source.name(), null);
                case QUERY_PARAMETER -> new KeyJson(null, null, source.name());
            };
        }

        KeySource toSource() {
            return toSource(pathSegment, header, queryParameter);
        }

        private static KeySource toSource(Integer pathSegment, String header, String queryParameter) {
            if (pathSegment != null) {
                return new KeySource(KeySource.Kind.PATH_SEGMENT, pathSegment.toString());
            }
            return header != null
                    ? new KeySource(KeySource.Kind.HEADER, header)
                    : new KeySource(KeySource.Kind.QUERY_PARAMETER, queryParameter);
        }
    }

    /** JSON form of a {@link ServerSpec}; the two Boolean fields default to false. */
    record ServerJson(
            String id,
            String dataCentre,
            String host,
            int port,
            Map<String, String> labels,
            int slots,
            int maxConnections,
            Boolean checksTokens,
            Boolean recognisesIdempotencyKeys) {
        ServerJson(
                String id,
                String dataCentre,
                String host,
                int port,
                Map<String, String> labels,
                int slots,
                int maxConnections,
                Boolean checksTokens,
                Boolean recognisesIdempotencyKeys) {
            this.id = id;
            this.dataCentre = dataCentre;
            this.host = host;
            this.port = port;
            this.labels = labels;
            this.slots = slots;
            this.maxConnections = maxConnections;
            this.checksTokens = checksTokens;
            this.recognisesIdempotencyKeys = recognisesIdempotencyKeys;
            toSpec();
        }

        static ServerJson of(ServerSpec spec) {
            return new ServerJson(
                    spec.id().value(),
                    spec.dataCentre().value(),
                    spec.host(),
                    spec.port(),
                    fieldsOf(spec.labels()),
                    spec.slots(),
                    spec.maxConnections(),
                    spec.checksTokens(),
                    spec.recognisesIdempotencyKeys());
        }

        ServerSpec toSpec() {
            return new ServerSpec(
                    new ServerId(id),
                    new DataCentreId(dataCentre),
                    host,
                    port,
                    labelsOf(labels),
                    slots,
                    maxConnections,
                    Boolean.TRUE.equals(checksTokens),
                    Boolean.TRUE.equals(recognisesIdempotencyKeys));
        }
    }

    static ConfigurationJson of(RoutingConfiguration configuration) {
        return new ConfigurationJson(
                configuration.applications().stream().map(ApplicationJson::of).toList(),
                configuration.servers().stream().map(ServerJson::of).toList());
    }

    RoutingConfiguration toConfiguration() {
        return new RoutingConfiguration(
                applications.stream().map(ApplicationJson::toSpec).toList(),
                servers.stream().map(ServerJson::toSpec).toList());
    }

    private static <T> List<T> requireNonNullElements(String field, List<T> elements) {
        if (elements == null) {
            return List.of();
        }
        for (int i = 0; i < elements.size(); i++) {
            if (elements.get(i) == null) {
                throw new IllegalArgumentException("\"" + field + "[" + i + "]\" is null; leave it out");
            }
        }
        return List.copyOf(elements);
    }

    private static List<Label> labelsOf(Map<String, String> fields) {
        if (fields == null) {
            return List.of();
        }
        return fields.entrySet().stream()
                .map(field -> new Label(field.getKey(), field.getValue()))
                .toList();
    }

    private static Map<String, String> fieldsOf(List<Label> labels) {
        Map<String, String> fields = new LinkedHashMap<>();
        labels.forEach(label -> fields.put(label.name(), label.value()));
        return fields;
    }
}
