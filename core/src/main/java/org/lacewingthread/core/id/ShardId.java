package org.lacewingthread.core.id;

import java.util.Comparator;

/**
 * Id of a shard of an application's key space. Keys hash to indexes from 0 to the application's shard
 * count minus one; higher indexes belong to single keys that were split out of their shard.
 *
 * @param application id of the application
 * @param index index in the application's shard table; not negative
 */
public record ShardId(ApplicationId application, int index) implements Comparable<ShardId> {
    private static final Comparator<ShardId> ORDER =
            Comparator.comparing(ShardId::application).thenComparingInt(ShardId::index);

    /** Checks that the application is present and the index is not negative. */
    public ShardId {
        if (application == null) {
            throw new IllegalArgumentException("application id of a shard is missing");
        }
        if (index < 0) {
            throw new IllegalArgumentException("shard index " + index + " of \"" + application + "\" is negative");
        }
    }

    @Override
    public int compareTo(ShardId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return application + "/" + index;
    }
}
