package org.lacewingthread.daemon.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.control.PlanUpdate;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * Converts route plans and plan updates to their wire format and back. Each distinct id and token is
 * sent once, and shards refer to it by index, so that a shard takes only a few bytes.
 */
final class PlanCodec {
    private PlanCodec() {}

    static PeerWire.VmStart encode(VmStart start) {
        return PeerWire.VmStart.newBuilder()
                .setVm(start.vm().value())
                .setStartNumber(start.startNumber())
                .build();
    }

    static VmStart decode(PeerWire.VmStart start) {
        return new VmStart(new VmId(start.getVm()), start.getStartNumber());
    }

    static PeerWire.Term encode(Term term) {
        return PeerWire.Term.newBuilder()
                .setClaimOffset(term.claimOffset().value())
                .setOrdinal(term.ordinal())
                .setLeader(encode(term.leader()))
                .build();
    }

    static Term decode(PeerWire.Term term) {
        return new Term(new LogOffset(term.getClaimOffset()), term.getOrdinal(), decode(term.getLeader()));
    }

    static PeerWire.RoutePlan encode(RoutePlan plan) {
        return PeerWire.RoutePlan.newBuilder()
                .setTerm(encode(plan.term()))
                .setVersion(plan.version())
                .setDispatchers(encodeDispatchers(plan.dispatchers()))
                .setOwners(encodeOwners(plan.owners()))
                .build();
    }

    static RoutePlan decode(PeerWire.RoutePlan plan) {
        return new RoutePlan(
                decode(plan.getTerm()),
                plan.getVersion(),
                decodeDispatchers(plan.getDispatchers()),
                decodeOwners(plan.getOwners()));
    }

    static PeerWire.PlanUpdate encode(PlanUpdate update) {
        PeerWire.PlanUpdate.Builder builder = PeerWire.PlanUpdate.newBuilder()
                .setTerm(encode(update.term()))
                .setFromVersion(update.fromVersion())
                .setToVersion(update.toVersion())
                .setDispatchers(encodeDispatchers(update.dispatchers()))
                .setOwners(encodeOwners(update.owners()))
                .setRemovedOwners(encodeShards(update.removedOwners()));
        update.removedDispatchers().forEach(server -> builder.addRemovedDispatchers(server.value()));
        return builder.build();
    }

    static PlanUpdate decode(PeerWire.PlanUpdate update) {
        return new PlanUpdate(
                decode(update.getTerm()),
                update.getFromVersion(),
                update.getToVersion(),
                decodeDispatchers(update.getDispatchers()),
                update.getRemovedDispatchersList().stream().map(ServerId::new).toList(),
                decodeOwners(update.getOwners()),
                decodeShards(update.getRemovedOwners()));
    }

    private static PeerWire.Dispatchers encodeDispatchers(Map<ServerId, VmStart> dispatchers) {
        IndexedValues<VmStart> vms = new IndexedValues<>(dispatchers.values());
        PeerWire.Dispatchers.Builder builder = PeerWire.Dispatchers.newBuilder();
        vms.values().forEach(vm -> builder.addVms(encode(vm)));
        dispatchers.forEach((server, vm) -> builder.addServers(server.value()).addServerVm(vms.indexOf(vm)));
        return builder.build();
    }

    private static Map<ServerId, VmStart> decodeDispatchers(PeerWire.Dispatchers wire) {
        List<VmStart> vms = wire.getVmsList().stream().map(PlanCodec::decode).toList();
        Map<ServerId, VmStart> dispatchers = new HashMap<>();
        for (int i = 0; i < wire.getServersCount(); i++) {
            dispatchers.put(new ServerId(wire.getServers(i)), vms.get(wire.getServerVm(i)));
        }
        return dispatchers;
    }

    private static PeerWire.Owners encodeOwners(Map<ShardId, RoutePlan.Ownership> owners) {
        IndexedValues<ApplicationId> applications = new IndexedValues<>(
                owners.keySet().stream().map(ShardId::application).toList());
        IndexedValues<ServerId> servers = new IndexedValues<>(
                owners.values().stream().map(RoutePlan.Ownership::server).toList());
        IndexedValues<FencingToken> tokens = new IndexedValues<>(
                owners.values().stream().map(RoutePlan.Ownership::token).toList());
        PeerWire.Owners.Builder builder = PeerWire.Owners.newBuilder();
        applications.values().forEach(application -> builder.addApplications(application.value()));
        servers.values().forEach(server -> builder.addServers(server.value()));
        tokens.values()
                .forEach(token -> builder.addTokens(PeerWire.Token.newBuilder()
                        .setTerm(encode(token.term()))
                        .setPlanVersion(token.planVersion())));
        owners.forEach((shard, ownership) -> builder.addShardApplication(applications.indexOf(shard.application()))
                .addShardIndex(shard.index())
                .addShardServer(servers.indexOf(ownership.server()))
                .addShardToken(tokens.indexOf(ownership.token())));
        return builder.build();
    }

    private static Map<ShardId, RoutePlan.Ownership> decodeOwners(PeerWire.Owners wire) {
        List<ApplicationId> applications =
                wire.getApplicationsList().stream().map(ApplicationId::new).toList();
        List<ServerId> servers =
                wire.getServersList().stream().map(ServerId::new).toList();
        List<FencingToken> tokens = wire.getTokensList().stream()
                .map(token -> new FencingToken(decode(token.getTerm()), token.getPlanVersion()))
                .toList();
        Map<ShardId, RoutePlan.Ownership> owners = new HashMap<>();
        for (int i = 0; i < wire.getShardIndexCount(); i++) {
            ShardId shard = new ShardId(applications.get(wire.getShardApplication(i)), wire.getShardIndex(i));
            ServerId server = servers.get(wire.getShardServer(i));
            owners.put(shard, new RoutePlan.Ownership(server, tokens.get(wire.getShardToken(i))));
        }
        return owners;
    }

    static PeerWire.ShardList encodeShards(List<ShardId> shards) {
        IndexedValues<ApplicationId> applications =
                new IndexedValues<>(shards.stream().map(ShardId::application).toList());
        PeerWire.ShardList.Builder builder = PeerWire.ShardList.newBuilder();
        applications.values().forEach(application -> builder.addApplications(application.value()));
        shards.forEach(shard -> builder.addShardApplication(applications.indexOf(shard.application()))
                .addShardIndex(shard.index()));
        return builder.build();
    }

    static List<ShardId> decodeShards(PeerWire.ShardList wire) {
        List<ShardId> shards = new ArrayList<>();
        for (int i = 0; i < wire.getShardIndexCount(); i++) {
            ApplicationId application = new ApplicationId(wire.getApplications(wire.getShardApplication(i)));
            shards.add(new ShardId(application, wire.getShardIndex(i)));
        }
        return shards;
    }

    /** Assigns indexes to distinct values in the order of their first occurrence. */
    private static final class IndexedValues<T> {
        private final Map<T, Integer> indexes = new LinkedHashMap<>();

        IndexedValues(Collection<T> values) {
            values.forEach(value -> indexes.putIfAbsent(value, indexes.size()));
        }

        Collection<T> values() {
            return indexes.keySet();
        }

        int indexOf(T value) {
            return indexes.get(value);
        }
    }
}
