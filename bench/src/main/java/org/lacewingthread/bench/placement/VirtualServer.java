package org.lacewingthread.bench.placement;

import java.util.HashMap;
import java.util.Map;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ShardId;

/** A backend server: whether it runs, and its leases if it checks tokens. */
final class VirtualServer {
    final ServerSpec spec;
    boolean up = true;
    long downSinceMillis;
    private final Map<ShardId, Long> leaseEndsMillis = new HashMap<>();

    VirtualServer(ServerSpec spec) {
        this.spec = spec;
    }

    void take(ServerOrder order, long nowMillis) {
        if (order instanceof ServerOrder.Renew renew) {
            renew.shards().forEach(s -> leaseEndsMillis.put(s.shard(), nowMillis + renew.leaseMillis()));
        } else if (order instanceof ServerOrder.Release release) {
            release.shards().forEach(leaseEndsMillis::remove);
        }
    }

    boolean serves(ShardId shard, long nowMillis) {
        return up && (!spec.checksTokens() || leaseEndsMillis.getOrDefault(shard, Long.MIN_VALUE) > nowMillis);
    }
}
