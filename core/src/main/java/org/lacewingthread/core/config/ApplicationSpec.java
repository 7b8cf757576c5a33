package org.lacewingthread.core.config;

import java.util.List;
import org.lacewingthread.core.id.ApplicationId;

/**
 * An application: a key space divided into a fixed number of shards, which are served by the backend servers
 * that carry all labels of the application's group.
 *
 * @param id id of the application
 * @param shardCount number of shards; a power of two from 16 to 65536, fixed for the lifetime of the application
 * @param profile objective that placement gives priority
 * @param group labels that a backend server must carry to own shards of the application
 * @param selectors selectors that match the application's requests
 */
public record ApplicationSpec(
        ApplicationId id,
        int shardCount,
        PlacementProfile profile,
        List<Label> group,
        List<RequestSelector> selectors) {
    private static final int MIN_SHARDS = 16;
    private static final int MAX_SHARDS = 65_536;

    /**
     * Checks the values and copies the lists.
     *
     * @throws IllegalArgumentException if the id or profile is missing, or the shard count is out of range
     */
    public ApplicationSpec {
        if (id == null || profile == null) {
            throw new IllegalArgumentException("application \"" + id + "\" needs an id and a profile");
        }
        if (shardCount < MIN_SHARDS || shardCount > MAX_SHARDS || Integer.bitCount(shardCount) != 1) {
            throw new IllegalArgumentException("shard count " + shardCount + " of application \"" + id
                    + "\" is not a power of two from " + MIN_SHARDS + " to " + MAX_SHARDS);
        }
        group = group == null ? List.of() : List.copyOf(group);
        selectors = selectors == null ? List.of() : List.copyOf(selectors);
    }

    /** Returns whether a server carries all labels of the application's group. */
    public boolean selects(ServerSpec server) {
        return server.labels().containsAll(group);
    }
}
