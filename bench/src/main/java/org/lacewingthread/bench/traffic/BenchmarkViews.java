package org.lacewingthread.bench.traffic;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.config.RequestSelector;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.ShardTable;

/** Creates control views of one application whose shards are spread over servers that all belong to one dispatcher. */
final class BenchmarkViews {
    static final ApplicationId APPLICATION = new ApplicationId("ledger");
    static final DataCentreId DATA_CENTRE = new DataCentreId("maras");
    static final VmStart LOCAL_VM = new VmStart(new VmId("maras-1"), 1);

    private BenchmarkViews() {}

    static ServerSpec serverSpec(String id, int port, int slots) {
        return new ServerSpec(new ServerId(id), DATA_CENTRE, "127.0.0.1", port, List.of(), slots, 130, false, false);
    }

    static ControlView view(List<ServerSpec> servers, int shards) {
        Term term = new Term(new LogOffset(1), 0, LOCAL_VM);
        Map<ServerId, VmStart> dispatchers = new HashMap<>();
        servers.forEach(server -> dispatchers.put(server.id(), LOCAL_VM));
        Map<ShardId, RoutePlan.Ownership> owners = new HashMap<>();
        for (int i = 0; i < shards; i++) {
            ServerId owner = servers.get(i % servers.size()).id();
            owners.put(new ShardId(APPLICATION, i), new RoutePlan.Ownership(owner, new FencingToken(term, 1)));
        }
        RoutePlan plan = new RoutePlan(term, 1, dispatchers, owners);
        return new ControlView(
                1, LOCAL_VM, DATA_CENTRE, true, false, state(servers, shards), Optional.of(plan), Long.MAX_VALUE);
    }

    private static ReplicaState state(List<ServerSpec> servers, int shards) {
        ShardTable.Entry entry = new ShardTable.Entry(DATA_CENTRE, null, null);
        ShardTable table = new ShardTable(shards, Collections.nCopies(shards, entry), Map.of());
        return new ReplicaState(
                new LogOffset(9),
                new LogOffset(1),
                new RoutingConfiguration(List.of(applicationSpec(shards)), servers),
                Map.of(),
                Map.of(APPLICATION, table),
                Set.of(),
                Set.of(),
                Map.of(),
                Map.of());
    }

    private static ApplicationSpec applicationSpec(int shards) {
        KeySource key = new KeySource(KeySource.Kind.PATH_SEGMENT, "1");
        return new ApplicationSpec(
                APPLICATION,
                shards,
                PlacementProfile.MINIMISE_UNAVAILABLE,
                List.of(),
                List.of(
                        new RequestSelector("rugs", List.of("GET"), "/rugs", RequestClass.LOOKUP, key),
                        new RequestSelector("holds", List.of("POST"), "/holds", RequestClass.NON_REPEATABLE, key),
                        new RequestSelector("history", List.of("GET"), "/history", RequestClass.DEFERRABLE, key)));
    }
}
