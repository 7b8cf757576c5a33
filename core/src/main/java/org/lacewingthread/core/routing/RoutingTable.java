package org.lacewingthread.core.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.ShardTable;

/**
 * Tells where a request goes, compiled from a {@link ControlView} into arrays so that a look-up
 * allocates nothing. Immutable.
 *
 * <pre>{@code
 * RoutingTable table = RoutingTable.compile(view, RoutingTable.EMPTY);
 * Route route = table.routeOf(application, keyHash);
 * }</pre>
 *
 * <p>The route plan of the VM's own data centre goes before the log: it is what the leader allows at
 * the moment. A shard that the plan lacks, and whose home is this data centre, is in motion.
 */
public final class RoutingTable {
    /** A table that knows no application. */
    public static final RoutingTable EMPTY = new RoutingTable(null, null, Optional.empty(), null, Map.of());

    private final DataCentreId dataCentre;
    private final VmStart self;
    private final Optional<RoutePlan> plan;
    private final ReplicaState state;
    private final Map<ApplicationId, ApplicationRoutes> applications;

    private RoutingTable(
            DataCentreId dataCentre,
            VmStart self,
            Optional<RoutePlan> plan,
            ReplicaState state,
            Map<ApplicationId, ApplicationRoutes> applications) {
        this.dataCentre = dataCentre;
        this.self = self;
        this.plan = plan;
        this.state = state;
        this.applications = applications;
    }

    /** Kind of place that a request goes to next. */
    public enum Target {
        /** This VM dispatches for the owner. */
        LOCAL,
        /** Another entry VM of this data centre dispatches for the owner. */
        PEER_VM,
        /** Another data centre governs the shard. */
        OTHER_DATA_CENTRE,
        /** The shard's ownership is about to change; the request may wait. */
        REASSIGNING,
        /** The shard was never assigned or is not configured. */
        NO_OWNER
    }

    /**
     * Where a request goes next.
     *
     * @param target kind of place
     * @param server owner, for {@link Target#LOCAL} and {@link Target#PEER_VM}; otherwise null
     * @param token token of the ownership, where there is an owner; otherwise null
     * @param vm the owner's dispatcher, where there is an owner; otherwise null
     * @param dataCentre data centre that governs the shard, or null if there is none
     */
    public record Route(Target target, ServerId server, FencingToken token, VmStart vm, DataCentreId dataCentre) {
        /** No server can be found. */
        public static final Route NO_OWNER = new Route(Target.NO_OWNER, null, null, null, null);
    }

    /**
     * Compiles a view, reusing an earlier table if nothing that routes depend on has changed.
     *
     * @param view the newest view
     * @param previous table of an earlier view
     */
    public static RoutingTable compile(ControlView view, RoutingTable previous) {
        if (previous.isCompiledFrom(view)) {
            return previous;
        }
        Map<ApplicationId, ApplicationRoutes> applications = new HashMap<>();
        view.state().shardTables().forEach((id, table) -> applications.put(id, routesOf(view, id, table)));
        return new RoutingTable(view.dataCentre(), view.self(), view.plan(), view.state(), applications);
    }

    private boolean isCompiledFrom(ControlView view) {
        return state != null
                && view.self().equals(self)
                && view.dataCentre().equals(dataCentre)
                && samePlan(plan, view.plan())
                && sameTables(state, view.state());
    }

    private static boolean samePlan(Optional<RoutePlan> a, Optional<RoutePlan> b) {
        if (a.isEmpty() || b.isEmpty()) {
            return a.isEmpty() && b.isEmpty();
        }
        return a.get().term().equals(b.get().term())
                && a.get().version() == b.get().version();
    }

    /** Compares by identity: a change makes a new table, and comparing the entries would cost more. */
    @SuppressWarnings("ReferenceEquality")
    private static boolean sameTables(ReplicaState a, ReplicaState b) {
        return a.shardTables().size() == b.shardTables().size()
                && a.shardTables().entrySet().stream()
                        .allMatch(e -> b.shardTables().get(e.getKey()) == e.getValue());
    }

    private static ApplicationRoutes routesOf(ControlView view, ApplicationId id, ShardTable table) {
        Route[] routes = new Route[table.entries().size()];
        for (int index = 0; index < routes.length; index++) {
            routes[index] =
                    routeOf(view, new ShardId(id, index), table.entries().get(index));
        }
        long[] splitHashes = table.splitKeys().keySet().stream()
                .mapToLong(Long::longValue)
                .sorted()
                .toArray();
        int[] splitShards = Arrays.stream(splitHashes)
                .mapToInt(h -> table.splitKeys().get(h))
                .toArray();
        return new ApplicationRoutes(table.shardCount() - 1, routes, splitHashes, splitShards);
    }

    private static Route routeOf(ControlView view, ShardId shard, ShardTable.Entry entry) {
        RoutePlan.Ownership ownership =
                view.plan().map(plan -> plan.owners().get(shard)).orElse(null);
        if (ownership != null) {
            return routeToOwner(view, ownership);
        }
        DataCentreId governor = entry == null ? null : responsibleDataCentre(entry);
        if (governor == null) {
            return Route.NO_OWNER;
        }
        Target target = governor.equals(view.dataCentre()) ? Target.REASSIGNING : Target.OTHER_DATA_CENTRE;
        return new Route(target, null, null, null, governor);
    }

    private static Route routeToOwner(ControlView view, RoutePlan.Ownership ownership) {
        VmStart vm = view.plan().orElseThrow().dispatchers().get(ownership.server());
        if (vm == null) {
            return new Route(Target.REASSIGNING, null, null, null, view.dataCentre());
        }
        Target target = vm.equals(view.self()) ? Target.LOCAL : Target.PEER_VM;
        return new Route(target, ownership.server(), ownership.token(), vm, view.dataCentre());
    }

    private static DataCentreId responsibleDataCentre(ShardTable.Entry entry) {
        return entry.adopter() != null ? entry.adopter() : entry.home();
    }

    /** Returns the index of the shard that a key belongs to, or -1 if the application is not known. */
    public int shardIndexOf(ApplicationId application, long keyHash) {
        ApplicationRoutes routes = applications.get(application);
        return routes == null ? -1 : routes.shardIndexOf(keyHash);
    }

    /** Returns the route of a key. */
    public Route routeOf(ApplicationId application, long keyHash) {
        ApplicationRoutes routes = applications.get(application);
        return routes == null ? Route.NO_OWNER : routes.routes[routes.shardIndexOf(keyHash)];
    }

    /** Returns the route of a shard. */
    public Route routeOf(ShardId shard) {
        ApplicationRoutes routes = applications.get(shard.application());
        if (routes == null || shard.index() >= routes.routes.length) {
            return Route.NO_OWNER;
        }
        return routes.routes[shard.index()];
    }

    private static final class ApplicationRoutes {
        private final int hashMask;
        private final Route[] routes;
        private final long[] splitHashes;
        private final int[] splitShards;

        ApplicationRoutes(int hashMask, Route[] routes, long[] splitHashes, int[] splitShards) {
            this.hashMask = hashMask;
            this.routes = routes;
            this.splitHashes = splitHashes;
            this.splitShards = splitShards;
        }

        int shardIndexOf(long keyHash) {
            int split = splitHashes.length == 0 ? -1 : Arrays.binarySearch(splitHashes, keyHash);
            return split >= 0 ? splitShards[split] : (int) (keyHash & hashMask);
        }
    }
}
