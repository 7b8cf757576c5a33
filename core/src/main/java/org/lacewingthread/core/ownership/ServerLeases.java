package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/** Leases of all backend servers that check tokens, one per server. */
final class ServerLeases {
    private final ControlSettings settings;
    private final Set<SafetyRule> rules;
    private final Map<ServerId, ServerLease> leases = new TreeMap<>();
    private long predecessorEndMillis = Long.MIN_VALUE;

    ServerLeases(ControlSettings settings, Set<SafetyRule> rules) {
        this.settings = settings;
        this.rules = rules;
    }

    /** Sets the time by which every server lease granted by earlier leaders has expired. */
    void startTerm(long endMillis) {
        predecessorEndMillis = endMillis;
    }

    void grant(ServerId server, ShardId shard, FencingToken token) {
        leaseOf(server).grant(shard, token);
    }

    boolean isConfirmed(ServerId server, ShardId shard) {
        return leaseOf(server).isConfirmed(shard);
    }

    long withdraw(ServerId server, ShardId shard) {
        return leaseOf(server).withdraw(shard);
    }

    void requestRelease(ServerId server, ShardId shard, FencingToken token) {
        leaseOf(server).requestRelease(shard, token);
    }

    boolean takeReleased(ServerId server, ShardId shard) {
        return leaseOf(server).takeReleased(shard);
    }

    void cancelRelease(ServerId server, ShardId shard) {
        leaseOf(server).cancelRelease(shard);
    }

    boolean isPresumedLost(ServerId server, long nowMillis) {
        ServerLease lease = leases.get(server);
        return lease != null && lease.isPresumedLost(nowMillis);
    }

    List<ShardId> takeRefused() {
        List<ShardId> refused = new ArrayList<>();
        leases.values().forEach(lease -> refused.addAll(lease.takeRefused()));
        return refused;
    }

    List<ServerOrder> orders(Predicate<ServerId> answering, long nowMillis) {
        List<ServerOrder> orders = new ArrayList<>();
        for (Map.Entry<ServerId, ServerLease> entry : leases.entrySet()) {
            entry.getValue()
                    .nextOrder(answering.test(entry.getKey()), nowMillis)
                    .ifPresent(orders::add);
        }
        return orders;
    }

    void orderAnswered(ServerId server, long sequence, boolean accepted, long nowMillis) {
        leaseOf(server).orderAnswered(sequence, accepted, nowMillis);
    }

    void orderFailed(ServerId server, long sequence, long nowMillis) {
        leaseOf(server).orderFailed(sequence, nowMillis);
    }

    private ServerLease leaseOf(ServerId server) {
        return leases.computeIfAbsent(server, s -> new ServerLease(s, settings, rules, predecessorEndMillis));
    }
}
