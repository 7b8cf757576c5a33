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
 * Maps keys and shards to routes. Compiled from a {@link ControlView} into arrays, so that a lookup allocates
 * no memory. Immutable.
 *
 * <pre>{@code
 * RoutingTable table = RoutingTable.compile(view, RoutingTable.EMPTY);
 * Route route = table.routeOf(application, keyHash);
 * }</pre>
 *
 * <p>The route plan of the VM's own data centre takes precedence over the shard tables built from the log, since
 * it states what the leader allows at the moment. A shard that is missing from the plan although this data centre
 * is responsible for it is being reassigned.
 */
public final class RoutingTable {
    /** A table without applications. */
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

    /** Next hop of a request. */
    public enum Target {
        /** This VM is the dispatcher of the shard's owner. */
        LOCAL,
        /** Another entry VM of this data centre is the dispatcher of the shard's owner. */
        PEER_VM,
        /** Another data centre is responsible for the shard. */
        OTHER_DATA_CENTRE,
        /** The shard has no owner or no dispatcher at the moment but is about to get one; the request may wait. */
        REASSIGNING,
        /** The shard was never assigned or is not configured. */
        NO_OWNER
    }

    /**
     * Route of a request.
     *
     * @param target next hop
     * @param server owner of the shard for {@link Target#LOCAL} and {@link Target#PEER_VM}; otherwise null
     * @param token fencing token of the ownership for the same targets; otherwise null
     * @param vm dispatcher of the owner for the same targets; otherwise null
     * @param dataCentre data centre that is responsible for the shard, or null if there is none
     */
    public record Route(Target target, ServerId server, FencingToken token, VmStart vm, DataCentreId dataCentre) {
        /** Route of a shard without an owner. */
        public static final Route NO_OWNER = new Route(Target.NO_OWNER, null, null, null, null);
    }

    /**
     * Returns the table of a view: a new one, or the previous one if nothing that routes depend on has changed.
     *
     * @param view view to compile
     * @param previous table compiled from an earlier view
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

    /** Compares tables by identity: every change creates a new table, and comparing the entries would cost more. */
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
        DataCentreId responsible = entry == null ? null : responsibleDataCentre(entry);
        if (responsible == null) {
            return Route.NO_OWNER;
        }
        Target target = responsible.equals(view.dataCentre()) ? Target.REASSIGNING : Target.OTHER_DATA_CENTRE;
        return new Route(target, null, null, null, responsible);
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

    /** Returns the index of the shard that a key belongs to, or -1 if the application is unknown. */
    public int shardIndexOf(ApplicationId application, long keyHash) {
        ApplicationRoutes routes = applications.get(application);
        return routes == null ? -1 : routes.shardIndexOf(keyHash);
    }

    /** Returns the route of the shard that a key belongs to. */
    public Route routeOf(ApplicationId application, long keyHash) {
        ApplicationRoutes routes = applications.get(application);
        return routes == null ? Route.NO_OWNER : routes.routes[routes.shardIndexOf(keyHash)];
    }

    /** Returns the route of a shard, {@link Route#NO_OWNER} if the shard is unknown. */
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
