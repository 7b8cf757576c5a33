package org.lacewingthread.bench.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/** Samples which hashed shards are served, by whom, and how long each was not. */
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

    /** Forgets what was seen so far, but not the owners. */
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
        Set<ShardId> twice = new HashSet<>();
        for (SimulatedEntryVm vm : deployment.vms) {
            vm.forEachServedShard((shard, server) -> {
                if (served.put(shard, server) != null) {
                    twice.add(shard);
                }
            });
        }
        doubleOwnerSamples += twice.size();
        served.forEach((shard, server) -> {
            ServerId before = owners.put(shard, server);
            if (before != null && !before.equals(server)) {
                ownerChanges.merge(shard, 1, Integer::sum);
            }
        });
        if (measuring) {
            owners.keySet().stream()
                    .filter(s -> isHashed(s) && !served.containsKey(s))
                    .forEach(s -> unservedMicros.merge(s, SAMPLE_INTERVAL_MICROS, Long::sum));
        }
    }

    /** Returns the newest owner of each shard that was ever served. */
    Map<ShardId, ServerId> owners() {
        return Map.copyOf(owners);
    }

    long unservedMillis(ShardId shard) {
        return unservedMicros.getOrDefault(shard, 0L) / 1_000;
    }

    /** Returns how many times shards changed owner. */
    int ownerChanges() {
        return ownerChanges.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns samples in which a shard could be reached at two places. */
    int doubleOwnerSamples() {
        return doubleOwnerSamples;
    }
}
