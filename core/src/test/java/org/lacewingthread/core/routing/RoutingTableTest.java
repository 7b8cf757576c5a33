package org.lacewingthread.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.config.RoutingConfiguration;
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
import org.lacewingthread.core.routing.RoutingTable.Route;
import org.lacewingthread.core.routing.RoutingTable.Target;

class RoutingTableTest {
    private static final ApplicationId LEDGER = new ApplicationId("ledger");
    private static final DataCentreId MARAS = new DataCentreId("maras");
    private static final DataCentreId CALCA = new DataCentreId("calca");
    private static final VmStart SELF = new VmStart(new VmId("maras-1"), 1);
    private static final VmStart PEER = new VmStart(new VmId("maras-2"), 2);
    private static final Term TERM = new Term(new LogOffset(1), 0, SELF);
    private static final FencingToken TOKEN = new FencingToken(TERM, 5);
    private static final int SHARDS = 16;
    private static final int SPLIT_SHARD = 16;

    private final ServerId ownServer = new ServerId("s1");
    private final ServerId peerServer = new ServerId("s2");
    private final ServerId serverWithoutDispatcher = new ServerId("s3");

    private static ShardId shard(int index) {
        return new ShardId(LEDGER, index);
    }

    private static ShardTable table() {
        List<ShardTable.Entry> entries =
                new ArrayList<>(Collections.nCopies(SHARDS, new ShardTable.Entry(MARAS, null, null)));
        entries.set(3, new ShardTable.Entry(CALCA, null, null));
        entries.set(4, new ShardTable.Entry(CALCA, MARAS, null));
        entries.set(5, new ShardTable.Entry(MARAS, CALCA, null));
        entries.set(6, ShardTable.Entry.UNASSIGNED);
        entries.add(new ShardTable.Entry(MARAS, null, null));
        return new ShardTable(SHARDS, entries, Map.of(99L, SPLIT_SHARD));
    }

    private ControlView view(long planVersion, ShardTable table) {
        RoutePlan plan = new RoutePlan(
                TERM,
                planVersion,
                Map.of(ownServer, SELF, peerServer, PEER),
                Map.of(
                        shard(0), new RoutePlan.Ownership(ownServer, TOKEN),
                        shard(1), new RoutePlan.Ownership(peerServer, TOKEN),
                        shard(2), new RoutePlan.Ownership(serverWithoutDispatcher, TOKEN),
                        shard(SPLIT_SHARD), new RoutePlan.Ownership(ownServer, TOKEN)));
        ReplicaState state = new ReplicaState(
                new LogOffset(9),
                new LogOffset(1),
                RoutingConfiguration.EMPTY,
                Map.of(),
                Map.of(LEDGER, table),
                Set.of(),
                Set.of(),
                Map.of(),
                Map.of());
        return new ControlView(1, SELF, MARAS, true, false, state, Optional.of(plan), 0);
    }

    private Route route(int index) {
        return RoutingTable.compile(view(1, table()), RoutingTable.EMPTY).routeOf(shard(index));
    }

    @Test
    void routeLeadsToTheOwnersDispatcherOnThisVmOrAPeer() {
        assertThat(route(0)).isEqualTo(new Route(Target.LOCAL, ownServer, TOKEN, SELF, MARAS));
        assertThat(route(1)).isEqualTo(new Route(Target.PEER_VM, peerServer, TOKEN, PEER, MARAS));
    }

    @Test
    void shardWithoutDispatcherOrOwnerIsReassigning() {
        assertThat(route(2).target()).isEqualTo(Target.REASSIGNING);
        assertThat(route(7).target()).isEqualTo(Target.REASSIGNING);
    }

    @Test
    void shardOfAnotherDataCentreIsRoutedThere() {
        assertThat(route(3)).isEqualTo(new Route(Target.OTHER_DATA_CENTRE, null, null, null, CALCA));
    }

    @Test
    void shardBeingHandedOverIsRoutedToTheAdoptingDataCentre() {
        assertThat(route(4).target()).isEqualTo(Target.REASSIGNING);
        assertThat(route(5)).isEqualTo(new Route(Target.OTHER_DATA_CENTRE, null, null, null, CALCA));
    }

    @Test
    void shardThatWasNeverAssignedOrIsUnknownHasNoOwner() {
        assertThat(route(6)).isEqualTo(Route.NO_OWNER);
        assertThat(route(1_000)).isEqualTo(Route.NO_OWNER);
        assertThat(RoutingTable.EMPTY.routeOf(shard(0))).isEqualTo(Route.NO_OWNER);
    }

    @Test
    void splitKeyHasItsOwnShardAndOtherKeysKeepTheirs() {
        RoutingTable table = RoutingTable.compile(view(1, table()), RoutingTable.EMPTY);
        assertThat(table.shardIndexOf(LEDGER, 99)).isEqualTo(SPLIT_SHARD);
        assertThat(table.shardIndexOf(LEDGER, 99 + SHARDS)).isEqualTo(99 % SHARDS);
        assertThat(table.shardIndexOf(LEDGER, -1)).isEqualTo(SHARDS - 1);
        assertThat(table.routeOf(LEDGER, 99).target()).isEqualTo(Target.LOCAL);
        assertThat(table.shardIndexOf(new ApplicationId("customs"), 99)).isEqualTo(-1);
    }

    @Test
    void tableIsReusedUntilThePlanOrTheShardTablesChange() {
        ShardTable shards = table();
        RoutingTable first = RoutingTable.compile(view(1, shards), RoutingTable.EMPTY);
        assertThat(RoutingTable.compile(view(1, shards), first)).isSameAs(first);
        assertThat(RoutingTable.compile(view(2, shards), first)).isNotSameAs(first);
        assertThat(RoutingTable.compile(view(1, table()), first)).isNotSameAs(first);
    }
}
