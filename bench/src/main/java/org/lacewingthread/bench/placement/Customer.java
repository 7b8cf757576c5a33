package org.lacewingthread.bench.placement;

import java.util.ArrayList;
import java.util.List;
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

/** Deployments of the two measured customers. Every other backend server checks fencing tokens. */
enum Customer {
    /** Four data centres, 20 and 15 servers; placement minimises unavailable time. */
    AWANA_QORI(
            PlacementProfile.MINIMISE_UNAVAILABLE,
            List.of("maras", "calca", "yucay", "lamay"),
            "order-ledger",
            20,
            "customs-desk",
            15,
            130,
            1_000),
    /** Three data centres, 25 and 15 servers; placement minimises owner changes. */
    ASSOCIACAO(
            PlacementProfile.MINIMISE_CHURN,
            List.of("recife", "salvador", "fortaleza"),
            "catalogue",
            25,
            "licensing",
            15,
            50,
            1_500);

    /** Number of hashed shards of each application. */
    static final int SHARDS = 1_024;

    private static final int FIRST_PORT = 8_000;
    private static final int MAX_SERVERS = 1_000;
    private static final int SLOTS = 2;

    final PlacementProfile profile;
    final List<DataCentreId> dataCentres;
    final ApplicationId firstApplication;
    final ApplicationId secondApplication;
    final long interDataCentreMicros;
    private final int firstServers;
    private final int secondServers;
    private final int connections;

    Customer(
            PlacementProfile profile,
            List<String> dataCentres,
            String first,
            int firstServers,
            String second,
            int secondServers,
            int connections,
            long betweenDataCentresMicros) {
        this.profile = profile;
        this.dataCentres = dataCentres.stream().map(DataCentreId::new).toList();
        this.firstApplication = new ApplicationId(first);
        this.firstServers = firstServers;
        this.secondApplication = new ApplicationId(second);
        this.secondServers = secondServers;
        this.connections = connections;
        this.interDataCentreMicros = betweenDataCentresMicros;
    }

    /** Returns the configuration of both applications, with extra servers for the first one. */
    RoutingConfiguration configuration(int extraServers) {
        List<ServerSpec> servers = new ArrayList<>();
        addServers(servers, firstApplication, firstServers + extraServers, FIRST_PORT);
        addServers(servers, secondApplication, secondServers, FIRST_PORT + MAX_SERVERS);
        return new RoutingConfiguration(
                List.of(application(firstApplication), application(secondApplication)), servers);
    }

    private void addServers(List<ServerSpec> servers, ApplicationId application, int count, int firstPort) {
        for (int i = 0; i < count; i++) {
            DataCentreId dataCentre = dataCentres.get(i % dataCentres.size());
            ServerId id = new ServerId(application + "-" + i);
            boolean checksTokens = i % 2 == 0;
            servers.add(new ServerSpec(
                    id,
                    dataCentre,
                    "127.0.0.1",
                    firstPort + i,
                    labels(application),
                    SLOTS,
                    connections,
                    checksTokens,
                    false));
        }
    }

    private ApplicationSpec application(ApplicationId id) {
        KeySource key = new KeySource(KeySource.Kind.PATH_SEGMENT, "1");
        RequestSelector selector = new RequestSelector("all", List.of(), "/" + id, RequestClass.LOOKUP, key);
        return new ApplicationSpec(id, SHARDS, profile, labels(id), List.of(selector));
    }

    private static List<Label> labels(ApplicationId application) {
        return List.of(new Label("application", application.value()));
    }
}
