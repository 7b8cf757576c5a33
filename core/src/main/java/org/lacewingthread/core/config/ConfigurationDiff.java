package org.lacewingthread.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

/**
 * Difference between two configurations, as shown to operators and in the audit trail.
 *
 * <pre>{@code
 * ConfigurationDiff diff = ConfigurationDiff.between(inForce, proposed);
 * System.out.print(diff.text());
 * }</pre>
 *
 * <p>The text has one line for each change: {@code + server s4}, {@code - selector ledger/rugs},
 * {@code ~ server s1 slots: 2 -> 4}.
 *
 * @param changes changes in the order applications, selectors, servers
 */
public record ConfigurationDiff(List<Change> changes) {
    /** Takes an immutable copy of the list. */
    public ConfigurationDiff {
        changes = List.copyOf(changes);
    }

    /** Kind of a change. */
    public enum Kind {
        /** The part is new. */
        ADDED("+"),
        /** The part was removed. */
        REMOVED("-"),
        /** A field of the part differs. */
        CHANGED("~");

        private final String sign;

        Kind(String sign) {
            this.sign = sign;
        }

        /** Returns the character at the start of the line for a change of this kind. */
        public String sign() {
            return sign;
        }
    }

    /**
     * A change of one part of the configuration.
     *
     * @param kind kind of the change
     * @param subject part that changed, for example {@code server s1}
     * @param field field that differs; empty unless the kind is {@link Kind#CHANGED}
     * @param before old value of the field; empty unless the kind is {@link Kind#CHANGED}
     * @param after new value of the field; empty unless the kind is {@link Kind#CHANGED}
     */
    public record Change(Kind kind, String subject, String field, String before, String after) {
        @Override
        public String toString() {
            String line = kind.sign() + " " + subject;
            return kind == Kind.CHANGED ? line + " " + field + ": " + before + " -> " + after : line;
        }
    }

    /** Returns the changes that lead from one configuration to another. */
    public static ConfigurationDiff between(RoutingConfiguration before, RoutingConfiguration after) {
        List<Change> changes = new ArrayList<>();
        compare(
                bySubject(before.applications(), a -> "application " + a.id()),
                bySubject(after.applications(), a -> "application " + a.id()),
                ConfigurationDiff::applicationFields,
                changes);
        compare(selectorsBySubject(before), selectorsBySubject(after), ConfigurationDiff::selectorFields, changes);
        compare(
                bySubject(before.servers(), s -> "server " + s.id()),
                bySubject(after.servers(), s -> "server " + s.id()),
                ConfigurationDiff::serverFields,
                changes);
        return new ConfigurationDiff(changes);
    }

    /** Returns whether the configurations are equivalent. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** Returns one line for each change, each ending in a line feed. */
    public String text() {
        StringBuilder text = new StringBuilder();
        changes.forEach(change -> text.append(change).append('\n'));
        return text.toString();
    }

    private static <T> Map<String, T> bySubject(List<T> parts, Function<T, String> subject) {
        Map<String, T> result = new LinkedHashMap<>();
        parts.forEach(part -> result.put(subject.apply(part), part));
        return result;
    }

    private static Map<String, RequestSelector> selectorsBySubject(RoutingConfiguration configuration) {
        Map<String, RequestSelector> result = new LinkedHashMap<>();
        for (ApplicationSpec application : configuration.applications()) {
            result.putAll(bySubject(application.selectors(), s -> "selector " + application.id() + "/" + s.name()));
        }
        return result;
    }

    private static <T> void compare(
            Map<String, T> before,
            Map<String, T> after,
            Function<T, Map<String, Object>> fields,
            List<Change> changes) {
        Set<String> subjects = new LinkedHashSet<>(before.keySet());
        subjects.addAll(after.keySet());
        for (String subject : subjects) {
            T old = before.get(subject);
            T changed = after.get(subject);
            if (old == null || changed == null) {
                changes.add(new Change(old == null ? Kind.ADDED : Kind.REMOVED, subject, "", "", ""));
            } else {
                compareFields(subject, fields.apply(old), fields.apply(changed), changes);
            }
        }
    }

    private static void compareFields(
            String subject, Map<String, Object> before, Map<String, Object> after, List<Change> changes) {
        before.forEach((field, old) -> {
            Object changed = after.get(field);
            if (!Objects.equals(old, changed)) {
                changes.add(new Change(Kind.CHANGED, subject, field, String.valueOf(old), String.valueOf(changed)));
            }
        });
    }

    private static Map<String, Object> applicationFields(ApplicationSpec application) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("shardCount", application.shardCount());
        fields.put("profile", application.profile());
        fields.put("group", application.group());
        return fields;
    }

    private static Map<String, Object> selectorFields(RequestSelector selector) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("methods", selector.methods());
        fields.put("pathPrefix", selector.pathPrefix());
        fields.put("requestClass", selector.requestClass());
        fields.put("key", selector.key().kind() + " " + selector.key().name());
        return fields;
    }

    private static Map<String, Object> serverFields(ServerSpec server) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("dataCentre", server.dataCentre());
        fields.put("host", server.host());
        fields.put("port", server.port());
        fields.put("labels", server.labels());
        fields.put("slots", server.slots());
        fields.put("maxConnections", server.maxConnections());
        fields.put("checksTokens", server.checksTokens());
        fields.put("recognisesIdempotencyKeys", server.recognisesIdempotencyKeys());
        return fields;
    }
}
