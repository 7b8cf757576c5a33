package org.lacewingthread.core.log;

import java.util.List;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * A shard's owner as recorded in the log.
 *
 * @param shard the shard
 * @param owner the backend server that owns it
 * @param failover servers of the same data centre that may take it over while the log is out, in order
 * @param token orders this assignment against others of the shard
 */
public record ShardAssignment(ShardId shard, ServerId owner, List<ServerId> failover, FencingToken token) {
    /** Copies the failover list. */
    public ShardAssignment {
        failover = List.copyOf(failover);
    }
}
