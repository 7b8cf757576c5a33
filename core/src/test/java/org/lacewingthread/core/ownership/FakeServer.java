package org.lacewingthread.core.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ShardId;

/** Backend server that checks tokens and measures leases with a clock of its own rate. */
final class FakeServer {
    final double clockRateRatio;
    boolean up = true;
    private final Map<ShardId, Long> leaseEndMillis = new HashMap<>();
    private final Map<ShardId, FencingToken> highestToken = new HashMap<>();

    FakeServer(double clockRateRatio) {
        this.clockRateRatio = clockRateRatio;
    }

    /** Carries out an order; returns false if it refuses a token. */
    boolean handleOrder(ServerOrder order, long nowMillis) {
        if (order instanceof ServerOrder.Release release) {
            return release(release);
        }
        ServerOrder.Renew renew = (ServerOrder.Renew) order;
        if (renew.shards().stream().anyMatch(s -> isBelowHighest(s.shard(), s.token()))) {
            return false;
        }
        long endMillis = nowMillis + (long) (renew.leaseMillis() / clockRateRatio);
        for (ServerOrder.GrantedShard shard : renew.shards()) {
            highestToken.put(shard.shard(), shard.token());
            leaseEndMillis.put(shard.shard(), endMillis);
        }
        return true;
    }

    private boolean release(ServerOrder.Release release) {
        if (release.shards().stream().anyMatch(s -> isBelowHighest(s, release.token()))) {
            return false;
        }
        for (ShardId shard : release.shards()) {
            highestToken.put(shard, release.token());
            leaseEndMillis.remove(shard);
        }
        return true;
    }

    private boolean isBelowHighest(ShardId shard, FencingToken token) {
        FencingToken seen = highestToken.get(shard);
        return seen != null && token.compareTo(seen) < 0;
    }

    /** Returns the shards whose lease has not expired, also while the server is down: a frozen server may resume. */
    Set<ShardId> ownedShards(long nowMillis) {
        Set<ShardId> result = new TreeSet<>();
        leaseEndMillis.forEach((shard, end) -> {
            if (nowMillis < end) {
                result.add(shard);
            }
        });
        return result;
    }
}
