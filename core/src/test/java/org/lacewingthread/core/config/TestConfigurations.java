package org.lacewingthread.core.config;

import java.util.Arrays;
import java.util.List;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;

/** Factory methods for configurations and their parts in tests. */
public final class TestConfigurations {
    private TestConfigurations() {}

    /** Returns an application whose group is {@code app=<id>}. */
    public static ApplicationSpec application(String id, int shardCount, RequestSelector... selectors) {
        return new ApplicationSpec(
                new ApplicationId(id),
                shardCount,
                PlacementProfile.MINIMISE_CHURN,
                List.of(new Label("app", id)),
                List.of(selectors));
    }

    /** Returns a selector for a path prefix that takes the key from the path segment at a position. */
    public static RequestSelector selector(String name, String prefix, int segment, String... methods) {
        KeySource key = new KeySource(KeySource.Kind.PATH_SEGMENT, Integer.toString(segment));
        return new RequestSelector(name, List.of(methods), prefix, RequestClass.LOOKUP, key);
    }

    /** Returns a selector for a path prefix and all methods that takes the key from a given source. */
    public static RequestSelector selector(String name, String prefix, KeySource.Kind kind, String key) {
        return new RequestSelector(name, List.of(), prefix, RequestClass.LOOKUP, new KeySource(kind, key));
    }

    /** Returns a server with labels given as {@code name=value}. */
    public static ServerSpec server(String id, String dataCentre, String host, int port, String... labels) {
        List<Label> parsed = Arrays.stream(labels)
                .map(label -> new Label(label.split("=")[0], label.split("=")[1]))
                .toList();
        return new ServerSpec(new ServerId(id), new DataCentreId(dataCentre), host, port, parsed, 2, 50, false, false);
    }

    /** Returns a configuration without problems: one application with two servers in one data centre. */
    public static RoutingConfiguration validConfiguration() {
        return new RoutingConfiguration(
                List.of(application("ledger", 16, selector("rugs", "/rugs", 1, "GET"))),
                List.of(
                        server("s1", "maras", "10.0.0.1", 80, "app=ledger"),
                        server("s2", "maras", "10.0.0.2", 80, "app=ledger")));
    }
}
