package org.lacewingthread.core.id;

import java.util.Comparator;

/**
 * One shard of an application's key space. Indexes from 0 to the application's shard count minus
 * one hold hashed keys; higher indexes are entries of keys that were split out.
 *
 * @param application the application
 * @param index position in the application's shard table; not negative
 */
public record ShardId(ApplicationId application, int index) implements Comparable<ShardId> {
    private static final Comparator<ShardId> ORDER =
            Comparator.comparing(ShardId::application).thenComparingInt(ShardId::index);

    /** Checks that the index is not negative. */
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
