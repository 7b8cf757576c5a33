package org.lacewingthread.core.config;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;

/**
 * The configuration that operators publish: applications with their selectors, and backend servers with their labels.
 *
 * @param applications all applications
 * @param servers the backend servers of all data centres
 */
public record RoutingConfiguration(List<ApplicationSpec> applications, List<ServerSpec> servers) {
    /** A configuration without applications and servers. */
    public static final RoutingConfiguration EMPTY = new RoutingConfiguration(List.of(), List.of());

    /** Takes immutable copies of the lists; null counts as empty. */
    public RoutingConfiguration {
        applications = applications == null ? List.of() : List.copyOf(applications);
        servers = servers == null ? List.of() : List.copyOf(servers);
    }

    /** Returns the application with an id, empty if it is not configured. */
    public Optional<ApplicationSpec> application(ApplicationId id) {
        return applications.stream().filter(a -> a.id().equals(id)).findFirst();
    }

    /** Returns the server with an id, empty if it is not configured. */
    public Optional<ServerSpec> server(ServerId id) {
        return servers.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /** Returns the servers that may own shards of an application: those that carry all labels of its group. */
    public List<ServerSpec> eligibleServers(ApplicationSpec application) {
        return servers.stream().filter(application::selects).toList();
    }
}
