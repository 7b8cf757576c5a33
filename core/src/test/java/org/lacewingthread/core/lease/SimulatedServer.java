package org.lacewingthread.core.lease;

import java.util.HashMap;
import java.util.Map;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ShardId;

/** Backend server that checks fencing tokens and has its own clock. */
final class SimulatedServer {
    private record Lease(FencingToken token, long deadlineMillis) {}

    final ServerSpec spec;
    boolean down;
    private final SimulatedGroup group;
    private final double clockRate;
    private final Map<ShardId, Lease> leases = new HashMap<>();
    private final Map<ShardId, FencingToken> highestTokens = new HashMap<>();

    SimulatedServer(SimulatedGroup group, ServerSpec spec, double clockRate) {
        this.group = group;
        this.spec = spec;
        this.clockRate = clockRate;
    }

    private long localMillis() {
        return (long) (group.nowMillis() * clockRate);
    }

    /** Returns whether the server holds an unexpired lease of the shard. */
    boolean holds(ShardId shard) {
        Lease lease = leases.get(shard);
        return lease != null && localMillis() < lease.deadlineMillis();
    }

    /** Executes an order. Returns whether the server accepted it. */
    boolean handleOrder(ServerOrder order) {
        if (order instanceof ServerOrder.Renew renew) {
            return renew(renew);
        }
        ServerOrder.Release release = (ServerOrder.Release) order;
        if (release.shards().stream().anyMatch(s -> isOlderThanSeen(release.token(), s))) {
            return false;
        }
        release.shards().forEach(shard -> {
            highestTokens.put(shard, release.token());
            leases.remove(shard);
        });
        return true;
    }

    private boolean renew(ServerOrder.Renew renew) {
        if (renew.shards().stream().anyMatch(s -> isOlderThanSeen(s.token(), s.shard()))) {
            return false;
        }
        long deadlineMillis = localMillis() + renew.leaseMillis();
        renew.shards().forEach(granted -> {
            highestTokens.put(granted.shard(), granted.token());
            leases.put(granted.shard(), new Lease(granted.token(), deadlineMillis));
        });
        return true;
    }

    private boolean isOlderThanSeen(FencingToken token, ShardId shard) {
        FencingToken seen = highestTokens.get(shard);
        return seen != null && token.compareTo(seen) < 0;
    }
}
