package org.lacewingthread.bench.placement;

import java.util.HashMap;
import java.util.Map;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ShardId;

/** A backend server in simulated time; one that checks tokens serves a shard only while it holds a lease for it. */
final class SimulatedBackendServer {
    final ServerSpec spec;
    boolean up = true;
    long downSinceMillis;
    private final Map<ShardId, Long> leaseExpiryMillis = new HashMap<>();

    SimulatedBackendServer(ServerSpec spec) {
        this.spec = spec;
    }

    void handleOrder(ServerOrder order, long nowMillis) {
        if (order instanceof ServerOrder.Renew renew) {
            renew.shards().forEach(s -> leaseExpiryMillis.put(s.shard(), nowMillis + renew.leaseMillis()));
        } else if (order instanceof ServerOrder.Release release) {
            release.shards().forEach(leaseExpiryMillis::remove);
        }
    }

    boolean serves(ShardId shard, long nowMillis) {
        return up && (!spec.checksTokens() || leaseExpiryMillis.getOrDefault(shard, Long.MIN_VALUE) > nowMillis);
    }
}
