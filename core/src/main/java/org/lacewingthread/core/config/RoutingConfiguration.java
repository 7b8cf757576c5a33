package org.lacewingthread.core.config;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;

/**
 * Everything that operators publish: applications with their selectors, and labelled servers.
 *
 * @param applications the applications
 * @param servers the backend servers of all data centres
 */
public record RoutingConfiguration(List<ApplicationSpec> applications, List<ServerSpec> servers) {
    /** A configuration with no applications and no servers. */
    public static final RoutingConfiguration EMPTY = new RoutingConfiguration(List.of(), List.of());

    /** Copies the lists. */
    public RoutingConfiguration {
        applications = applications == null ? List.of() : List.copyOf(applications);
        servers = servers == null ? List.of() : List.copyOf(servers);
    }

    /** Returns the application with an id, if there is one. */
    public Optional<ApplicationSpec> application(ApplicationId id) {
        return applications.stream().filter(a -> a.id().equals(id)).findFirst();
    }

    /** Returns the server with an id, if there is one. */
    public Optional<ServerSpec> server(ServerId id) {
        return servers.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /** Returns the servers that an application's group selects. */
    public List<ServerSpec> eligibleServers(ApplicationSpec application) {
        return servers.stream().filter(application::selects).toList();
    }
}
