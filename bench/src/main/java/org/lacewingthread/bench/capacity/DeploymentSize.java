package org.lacewingthread.bench.capacity;

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

/**
 * Size of a deployment.
 *
 * @param dataCentres number of data centres
 * @param vms number of entry VMs in each data centre
 * @param servers number of backend servers in each data centre; every other one checks fencing tokens
 * @param shards number of hashed shards of the only application
 */
record DeploymentSize(int dataCentres, int vms, int servers, int shards) {
    private static final ApplicationId APPLICATION = new ApplicationId("ledger");
    private static final List<Label> LABELS = List.of(new Label("application", "ledger"));
    private static final int FIRST_PORT = 8_000;

    DataCentreId dataCentreId(int index) {
        return new DataCentreId("dc-" + index);
    }

    /** Returns the configuration with a number of slots for each server, in which its revisions differ. */
    RoutingConfiguration configuration(int slots) {
        KeySource key = new KeySource(KeySource.Kind.PATH_SEGMENT, "1");
        RequestSelector selector = new RequestSelector("all", List.of(), "/rugs", RequestClass.LOOKUP, key);
        ApplicationSpec application =
                new ApplicationSpec(APPLICATION, shards, PlacementProfile.MINIMISE_CHURN, LABELS, List.of(selector));
        List<ServerSpec> specs = new ArrayList<>();
        for (int i = 0; i < servers * dataCentres; i++) {
            DataCentreId dataCentre = dataCentreId(i % dataCentres);
            specs.add(new ServerSpec(
                    new ServerId("ledger-" + i),
                    dataCentre,
                    "10.0.0.1",
                    FIRST_PORT + i,
                    LABELS,
                    slots,
                    130,
                    i / dataCentres % 2 == 0,
                    false));
        }
        return new RoutingConfiguration(List.of(application), specs);
    }

    @Override
    public String toString() {
        return dataCentres + " " + vms + " " + servers + " " + shards;
    }
}
