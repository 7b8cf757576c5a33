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

/** Backend servers of the leader's data centre and what may be done with each. */
final class ServerDirectory {
    /** Time for which a server that was lost must answer before it gets shards again. */
    static final long RETURN_MILLIS = 5_000;

    private static final double COLD_WEIGHT_RATIO = 0.25;

    private final BiPredicate<ServerId, Long> ordersFail;
    private final Map<ServerId, ServerSpec> known = new HashMap<>();
    private final Map<ServerId, Long> trustedFromMillis = new HashMap<>();
    private RoutingConfiguration configuration = RoutingConfiguration.EMPTY;
    private LogOffset revision = LogOffset.NONE;
    private List<ServerSpec> servers = List.of();
    private Map<ServerId, ServerSpec> present = Map.of();
    private Step step;

    ServerDirectory(BiPredicate<ServerId, Long> ordersFail) {
        this.ordersFail = ordersFail;
    }

    void refresh(Step newStep) {
        step = newStep;
        LogOffset newest = step.inputs().state().configurationRevision();
        if (!newest.equals(revision)) {
            revision = newest;
            configuration = step.inputs().state().configuration();
            servers = configuration.servers().stream()
                    .filter(s -> s.dataCentre().equals(step.inputs().dataCentre()))
                    .toList();
            present = new HashMap<>();
            servers.forEach(s -> present.put(s.id(), s));
            known.putAll(present);
        }
        for (ServerSpec server : servers) {
            if (isLost(server.id())) {
                trustedFromMillis.put(server.id(), step.nowMillis() + RETURN_MILLIS);
            }
        }
    }

    List<ServerSpec> servers() {
        return servers;
    }

    /** Returns whether a server checks tokens; one that was never configured here is not asked. */
    boolean checksTokens(ServerId server) {
        ServerSpec spec = known.get(server);
        return spec != null && spec.checksTokens();
    }

    /** Returns whether a server may hold a lease: it checks tokens, or is not known any more. */
    boolean mayHoldLease(ServerId server) {
        return checksTokens(server) || !known.containsKey(server);
    }

    /** Returns whether any server of an application, or one that is gone, may hold a lease. */
    boolean mayHoldLeases(ApplicationId application) {
        List<ServerSpec> group = configuration
                .application(application)
                .map(configuration::eligibleServers)
                .orElse(List.of());
        return group.isEmpty() || group.stream().anyMatch(ServerSpec::checksTokens);
    }

    boolean isPresent(ServerId server) {
        return present.containsKey(server);
    }

    boolean answers(ServerId server) {
        return condition(server).isAnswering();
    }

    boolean isLost(ServerId server) {
        return !answers(server) || ordersFail.test(server, step.nowMillis());
    }

    /** Returns whether a server must hand over an application's shards in good order. */
    boolean mustLeave(ServerId server, ApplicationId application) {
        ServerSpec spec = present.get(server);
        return spec == null
                || condition(server) == ServerCondition.LEAVING
                || step.inputs().state().drainingServers().contains(server)
                || configuration
                        .application(application)
                        .filter(a -> a.selects(spec))
                        .isEmpty();
    }

    boolean mayOwn(ServerId server, ApplicationId application) {
        return !mustLeave(server, application) && !isLost(server);
    }

    /** Returns the servers that may get shards of an application; those back from a loss only if no other may. */
    List<ShardPlacer.Candidate> candidates(ApplicationId application) {
        List<ServerSpec> able =
                servers.stream().filter(s -> mayOwn(s.id(), application)).toList();
        List<ServerSpec> trusted = able.stream().filter(s -> isTrusted(s.id())).toList();
        return (trusted.isEmpty() ? able : trusted)
                .stream()
                        .map(s -> new ShardPlacer.Candidate(s.id(), weightOf(s)))
                        .toList();
    }

    /** Returns what a server can carry relative to others. */
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

    /** Returns whether a server was not lost within {@link #RETURN_MILLIS}. */
    boolean isTrusted(ServerId server) {
        return step.nowMillis() >= trustedFromMillis.getOrDefault(server, Long.MIN_VALUE);
    }

    /** Returns the share of an application's servers that stand in this data centre. */
    double shareOfServers(ApplicationId id) {
        List<ServerSpec> group = configuration
                .application(id)
                .map(configuration::eligibleServers)
                .orElse(List.of());
        long here = group.stream()
                .filter(s -> s.dataCentre().equals(step.inputs().dataCentre()))
                .count();
        return group.isEmpty() ? 0 : (double) here / group.size();
    }

    private ServerCondition condition(ServerId server) {
        return step.inputs().conditions().getOrDefault(server, ServerCondition.REACHABLE);
    }
}
