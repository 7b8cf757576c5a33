package org.lacewingthread.bench.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/** Samples which shards are served and by which server, and adds up how long each hashed shard was unavailable. */
final class ShardServiceMonitor {
    private static final long SAMPLE_INTERVAL_MICROS = 5_000;

    private final SimulatedDeployment deployment;
    private final Map<ShardId, ServerId> owners = new HashMap<>();
    private final Map<ShardId, Long> unservedMicros = new HashMap<>();
    private final Map<ShardId, Integer> ownerChanges = new HashMap<>();
    private int doubleOwnerSamples;
    private boolean measuring;

    ShardServiceMonitor(SimulatedDeployment deployment) {
        this.deployment = deployment;
        deployment.queue.scheduleEvery(SAMPLE_INTERVAL_MICROS, this::sample);
    }

    /** Starts the measurement. Counters restart at zero, the known owners stay. */
    void startMeasurement() {
        measuring = true;
        unservedMicros.clear();
        ownerChanges.clear();
        doubleOwnerSamples = 0;
    }

    private static boolean isHashed(ShardId shard) {
        return shard.index() < Customer.SHARDS;
    }

    private void sample() {
        Map<ShardId, ServerId> served = new HashMap<>();
        Set<ShardId> servedTwice = new HashSet<>();
        for (SimulatedEntryVm vm : deployment.vms) {
            vm.forEachServedShard((shard, server) -> {
                if (served.put(shard, server) != null) {
                    servedTwice.add(shard);
                }
            });
        }
        doubleOwnerSamples += servedTwice.size();
        served.forEach((shard, server) -> {
            ServerId previous = owners.put(shard, server);
            if (previous != null && !previous.equals(server)) {
                ownerChanges.merge(shard, 1, Integer::sum);
            }
        });
        if (measuring) {
            owners.keySet().stream()
                    .filter(s -> isHashed(s) && !served.containsKey(s))
                    .forEach(s -> unservedMicros.merge(s, SAMPLE_INTERVAL_MICROS, Long::sum));
        }
    }

    /** Returns the most recent owner of each shard that has ever been served. */
    Map<ShardId, ServerId> owners() {
        return Map.copyOf(owners);
    }

    long unservedMillis(ShardId shard) {
        return unservedMicros.getOrDefault(shard, 0L) / 1_000;
    }

    /** Returns the total number of owner changes of all shards. */
    int ownerChanges() {
        return ownerChanges.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the number of samples, counted per shard, in which more than one VM served the same shard. */
    int doubleOwnerSamples() {
        return doubleOwnerSamples;
    }
}
