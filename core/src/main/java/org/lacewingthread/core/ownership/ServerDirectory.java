package org.lacewingthread.core.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.placement.ShardPlacer;

/** Backend servers of the leader's data centre, their condition and their eligibility to own shards. */
final class ServerDirectory {
    /** Time for which a recovered server must answer before it gets shards again. */
    static final long PROBATION_MILLIS = 5_000;

    private static final double COLD_WEIGHT_RATIO = 0.25;

    private final BiPredicate<ServerId, Long> ordersFailing;
    private final Map<ServerId, ServerSpec> everConfigured = new HashMap<>();
    private final Map<ServerId, Long> trustedFromMillis = new HashMap<>();
    private RoutingConfiguration configuration = RoutingConfiguration.EMPTY;
    private LogOffset revision = LogOffset.NONE;
    private List<ServerSpec> servers = List.of();
    private Map<ServerId, ServerSpec> configured = Map.of();
    private StepContext step;

    ServerDirectory(BiPredicate<ServerId, Long> ordersFail) {
        this.ordersFailing = ordersFail;
    }

    /** Updates the servers from the inputs of a step. */
    void refresh(StepContext current) {
        step = current;
        LogOffset newest = step.inputs().state().configurationRevision();
        if (!newest.equals(revision)) {
            revision = newest;
            configuration = step.inputs().state().configuration();
            servers = configuration.servers().stream()
                    .filter(s -> s.dataCentre().equals(step.inputs().dataCentre()))
                    .toList();
            configured = new HashMap<>();
            servers.forEach(s -> configured.put(s.id(), s));
            everConfigured.putAll(configured);
        }
        for (ServerSpec server : servers) {
            if (isLost(server.id())) {
                trustedFromMillis.put(server.id(), step.nowMillis() + PROBATION_MILLIS);
            }
        }
    }

    List<ServerSpec> servers() {
        return servers;
    }

    /** Returns whether a server checks tokens; false if it was not configured here in this term. */
    boolean checksTokens(ServerId server) {
        ServerSpec spec = everConfigured.get(server);
        return spec != null && spec.checksTokens();
    }

    /** Returns whether a server may hold a lease: it checks tokens, or it was removed before this term began. */
    boolean mayHoldLease(ServerId server) {
        return checksTokens(server) || !everConfigured.containsKey(server);
    }

    /** Returns whether a server of an application may hold a lease; true if none is configured, as removed ones may. */
    boolean mayHoldLeases(ApplicationId application) {
        List<ServerSpec> group = configuration
                .application(application)
                .map(configuration::eligibleServers)
                .orElse(List.of());
        return group.isEmpty() || group.stream().anyMatch(ServerSpec::checksTokens);
    }

    boolean isConfigured(ServerId server) {
        return configured.containsKey(server);
    }

    boolean isAnswering(ServerId server) {
        return condition(server).isAnswering();
    }

    /** Returns whether a server does not answer or several orders to it failed in a row. */
    boolean isLost(ServerId server) {
        return !isAnswering(server) || ordersFailing.test(server, step.nowMillis());
    }

    /** Returns whether a server must hand over an application's shards while it still serves them. */
    boolean mustHandOver(ServerId server, ApplicationId application) {
        ServerSpec spec = configured.get(server);
        return spec == null
                || condition(server) == ServerCondition.LEAVING
                || step.inputs().state().drainingServers().contains(server)
                || configuration
                        .application(application)
                        .filter(a -> a.selects(spec))
                        .isEmpty();
    }

    boolean mayOwn(ServerId server, ApplicationId application) {
        return !mustHandOver(server, application) && !isLost(server);
    }

    /** Returns the servers that may get shards of an application; recently lost ones only if there is no other. */
    List<ShardPlacer.Candidate> candidates(ApplicationId application) {
        List<ServerSpec> eligible =
                servers.stream().filter(s -> mayOwn(s.id(), application)).toList();
        List<ServerSpec> trusted =
                eligible.stream().filter(s -> isTrusted(s.id())).toList();
        return (trusted.isEmpty() ? eligible : trusted)
                .stream()
                        .map(s -> new ShardPlacer.Candidate(s.id(), weightOf(s)))
                        .toList();
    }

    /** Returns the capacity of a server relative to others. */
    double weightOf(ServerSpec server) {
        return condition(server.id()) == ServerCondition.COLD ? server.slots() * COLD_WEIGHT_RATIO : server.slots();
    }

    List<ApplicationSpec> applications() {
        return configuration.applications();
    }

    LogOffset revision() {
        return revision;
    }

    RoutingConfiguration configuration() {
        return configuration;
    }

    /** Returns whether a server has not been lost within the last {@link #PROBATION_MILLIS}. */
    boolean isTrusted(ServerId server) {
        return step.nowMillis() >= trustedFromMillis.getOrDefault(server, Long.MIN_VALUE);
    }

    /** Returns the fraction of an application's servers that are in this data centre. */
    double localServerShare(ApplicationId id) {
        List<ServerSpec> group = configuration
                .application(id)
                .map(configuration::eligibleServers)
                .orElse(List.of());
        long local = group.stream()
                .filter(s -> s.dataCentre().equals(step.inputs().dataCentre()))
                .count();
        return group.isEmpty() ? 0 : (double) local / group.size();
    }

    private ServerCondition condition(ServerId server) {
        return step.inputs().serverConditions().getOrDefault(server, ServerCondition.REACHABLE);
    }
}
