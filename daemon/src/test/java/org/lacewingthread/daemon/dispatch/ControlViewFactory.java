package org.lacewingthread.daemon.dispatch;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.Label;
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
import org.lacewingthread.core.routing.KeyHash;

/** Creates control views for tests: one application whose shards are all owned by one server, unless a key is split. */
public final class ControlViewFactory {
    public static final ApplicationId LEDGER = new ApplicationId("ledger");
    public static final DataCentreId MARAS = new DataCentreId("maras");
    public static final VmStart SELF = new VmStart(new VmId("maras-1"), 1);
    public static final VmStart OTHER = new VmStart(new VmId("maras-2"), 2);
    public static final long NO_LEASE = Long.MIN_VALUE;
    private static final int SHARDS = 16;

    private final RoutingConfiguration configuration;
    private final ShardTable table;
    private long number;
    private long version;

    public ControlViewFactory(ServerSpec... servers) {
        this.configuration = new RoutingConfiguration(List.of(ledger()), List.of(servers));
        ShardTable.Entry entry = new ShardTable.Entry(MARAS, null, null);
        this.table = new ShardTable(SHARDS, Collections.nCopies(SHARDS, entry), Map.of());
    }

    public static ServerSpec server(String id, int port, int maxConnections) {
        return new ServerSpec(
                new ServerId(id),
                MARAS,
                "127.0.0.1",
                port,
                List.of(new Label("app", "ledger")),
                2,
                maxConnections,
                false,
                false);
    }

    private static ApplicationSpec ledger() {
        KeySource key = new KeySource(KeySource.Kind.PATH_SEGMENT, "1");
        return new ApplicationSpec(
                LEDGER,
                SHARDS,
                PlacementProfile.MINIMISE_UNAVAILABLE,
                List.of(new Label("app", "ledger")),
                List.of(
                        new RequestSelector("rugs", List.of("GET"), "/rugs", RequestClass.LOOKUP, key),
                        new RequestSelector("holds", List.of("POST"), "/holds", RequestClass.NON_REPEATABLE, key),
                        new RequestSelector("history", List.of("GET"), "/history", RequestClass.DEFERRABLE, key)));
    }

    /** Returns a view in which a VM dispatches for a server that owns every shard. */
    public ControlView ownedBy(ServerId server, VmStart dispatcher, long dispatchDeadlineMillis) {
        Map<ShardId, RoutePlan.Ownership> owners = new HashMap<>();
        version++;
        Term term = new Term(new LogOffset(3), 0, SELF);
        for (int i = 0; i < SHARDS; i++) {
            owners.put(new ShardId(LEDGER, i), new RoutePlan.Ownership(server, new FencingToken(term, version)));
        }
        RoutePlan plan = new RoutePlan(term, version, Map.of(server, dispatcher), owners);
        return view(plan, dispatchDeadlineMillis);
    }

    /** Returns a view in which a key is split out and owned by one server, and all other shards by another. */
    public ControlView splitOut(String key, ServerId owner, ServerId ownerOfKey, long dispatchDeadlineMillis) {
        ControlView whole = ownedBy(owner, SELF, dispatchDeadlineMillis);
        RoutePlan plan = whole.plan().orElseThrow();
        Map<ShardId, RoutePlan.Ownership> owners = new HashMap<>(plan.owners());
        FencingToken token = new FencingToken(plan.term(), plan.version());
        owners.put(new ShardId(LEDGER, SHARDS), new RoutePlan.Ownership(ownerOfKey, token));
        Map<ServerId, VmStart> dispatchers = new HashMap<>();
        dispatchers.put(owner, SELF);
        dispatchers.put(ownerOfKey, SELF);
        ShardTable.Entry entry = new ShardTable.Entry(MARAS, null, null);
        ShardTable split =
                new ShardTable(SHARDS, Collections.nCopies(SHARDS + 1, entry), Map.of(KeyHash.of(key), SHARDS));
        return view(split, new RoutePlan(plan.term(), plan.version(), dispatchers, owners), dispatchDeadlineMillis);
    }

    /** Returns a view in which every shard is being reassigned. */
    public ControlView inMotion(long dispatchDeadlineMillis) {
        version++;
        Term term = new Term(new LogOffset(3), 0, SELF);
        return view(new RoutePlan(term, version, Map.of(), Map.of()), dispatchDeadlineMillis);
    }

    private ControlView view(RoutePlan plan, long dispatchDeadlineMillis) {
        return view(table, plan, dispatchDeadlineMillis);
    }

    private ControlView view(ShardTable shards, RoutePlan plan, long dispatchDeadlineMillis) {
        ReplicaState state = new ReplicaState(
                new LogOffset(9),
                new LogOffset(1),
                configuration,
                Map.of(),
                Map.of(LEDGER, shards),
                Set.of(),
                Set.of(),
                Map.of(),
                Map.of());
        return new ControlView(number++, SELF, MARAS, true, false, state, Optional.of(plan), dispatchDeadlineMillis);
    }
}
