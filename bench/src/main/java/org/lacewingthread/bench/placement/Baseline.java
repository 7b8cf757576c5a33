package org.lacewingthread.bench.placement;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.placement.Rendezvous;

/** Stateless placements, which depend only on the shard and the list of servers. */
enum Baseline {
    /** Shard hash modulo the number of servers. */
    HASH_MOD_N {
        @Override
        Placement placementOn(List<ServerId> servers) {
            return key -> servers.get((int) Long.remainderUnsigned(key, servers.size()));
        }
    },
    /** Rendezvous hashing with equal weights. */
    RENDEZVOUS {
        @Override
        Placement placementOn(List<ServerId> servers) {
            return key ->
                    Rendezvous.ranked(key, servers, ServerId::value, s -> 1).get(0);
        }
    },
    /** Consistent hashing on a ring with virtual nodes. */
    RING {
        @Override
        Placement placementOn(List<ServerId> servers) {
            TreeMap<Long, ServerId> ring = new TreeMap<>();
            for (ServerId server : servers) {
                for (int i = 0; i < VIRTUAL_NODES; i++) {
                    ring.put(Rendezvous.hash(server + "/" + i), server);
                }
            }
            return key -> {
                Map.Entry<Long, ServerId> next = ring.ceilingEntry(key);
                return (next == null ? ring.firstEntry() : next).getValue();
            };
        }
    };

    private static final int VIRTUAL_NODES = 100;

    /** Maps the hash of a shard to its server. */
    interface Placement {
        ServerId serverOf(long key);

        default ServerId serverOf(ShardId shard) {
            return serverOf(Rendezvous.score(Rendezvous.hash(shard.application().value()), shard.index()));
        }
    }

    abstract Placement placementOn(List<ServerId> servers);
}
