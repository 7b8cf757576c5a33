package org.lacewingthread.core.control;

import java.util.List;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/** Orders from a leader to a backend server that checks tokens. At most one order is unanswered at a time. */
public sealed interface ServerOrder {
    /** Returns the server that the order is addressed to. */
    ServerId server();

    /** Returns the sequence number, which the answer repeats. */
    long sequence();

    /**
     * Grants or renews the lease on all listed shards. Other shards that the server holds are unaffected; their
     * leases end by release or expiry.
     *
     * @param server server that the order is addressed to
     * @param sequence number of the order among the leader's orders to the server
     * @param token highest token of the listed shards
     * @param leaseMillis duration of the lease in milliseconds, counted by the server from receipt
     * @param startByMillis the server drops the order if it reads it more than this many milliseconds after it was
     *     sent
     * @param shards shards to grant, with their tokens
     */
    record Renew(
            ServerId server,
            long sequence,
            FencingToken token,
            long leaseMillis,
            long startByMillis,
            List<GrantedShard> shards)
            implements ServerOrder {}

    /**
     * Withdraws shards; the server answers once no request for them runs any more.
     *
     * @param server server that the order is addressed to
     * @param sequence number of the order among the leader's orders to the server
     * @param token token higher than those under which the shards were granted
     * @param shards shards to withdraw
     */
    record Release(ServerId server, long sequence, FencingToken token, List<ShardId> shards) implements ServerOrder {}

    /**
     * A shard that is granted to a server.
     *
     * @param shard shard to grant
     * @param token fencing token of the ownership
     */
    record GrantedShard(ShardId shard, FencingToken token) {}
}
