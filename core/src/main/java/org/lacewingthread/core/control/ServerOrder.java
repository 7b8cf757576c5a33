package org.lacewingthread.core.control;

import java.util.List;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/** Orders from a leader to a backend server that checks tokens. At most one is unanswered at a time. */
public sealed interface ServerOrder {
    /** Returns the server addressed. */
    ServerId server();

    /** Returns the number that the reply repeats. */
    long sequence();

    /**
     * Grants or renews the lease on all of a server's shards. Shards the server holds that are not listed
     * are unaffected; they end by release or expiry.
     *
     * @param server the server
     * @param sequence counts the leader's orders to the server
     * @param token highest token of the listed shards
     * @param leaseMillis length of the lease, counted by the server from receipt
     * @param startByMillis the server drops the order if it is read later than this after it was sent
     * @param shards the shards with their tokens
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
     * Takes shards away; answered once no request of theirs runs any more.
     *
     * @param server the server
     * @param sequence counts the leader's orders to the server
     * @param token above the token under which the shards were granted
     * @param shards the shards
     */
    record Release(ServerId server, long sequence, FencingToken token, List<ShardId> shards) implements ServerOrder {}

    /**
     * A shard with its token.
     *
     * @param shard the shard
     * @param token its fencing token
     */
    record GrantedShard(ShardId shard, FencingToken token) {}
}
