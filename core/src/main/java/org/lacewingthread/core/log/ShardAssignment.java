package org.lacewingthread.core.log;

import java.util.List;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Assignment of a shard to its owner, as recorded in the log.
 *
 * @param shard the assigned shard
 * @param owner backend server that owns the shard
 * @param failover servers of the same data centre that may take over the shard while the log is unavailable,
 *     in order of preference
 * @param token fencing token that orders the assignments of the shard
 */
public record ShardAssignment(ShardId shard, ServerId owner, List<ServerId> failover, FencingToken token) {
    /** Creates the assignment with a copy of the failover list. */
    public ShardAssignment {
        failover = List.copyOf(failover);
    }
}
