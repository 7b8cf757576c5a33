package org.lacewingthread.standin;

import java.util.Arrays;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Shards of one application that a lease order grants under one token.
 *
 * @param shard application with shard indexes and ranges, such as {@code ledger/3,7,12-15}
 * @param token fencing token of all these shards
 */
record GrantedShards(String shard, String token) {
    private static final int MAX_RANGE_SHARDS = 65_536;

    GrantedShards {
        if (shard == null || !shard.matches("[^/]+/[0-9]{1,9}(-[0-9]{1,9})?(,[0-9]{1,9}(-[0-9]{1,9})?)*")) {
            throw new IllegalArgumentException("shard \"" + shard + "\" does not have the form application/indexes");
        }
        FencingTokens.requireValid(token);
    }

    /** Returns one grant for each shard. */
    Stream<LeaseTable.ShardGrant> expand() {
        int slash = shard.indexOf('/');
        String application = shard.substring(0, slash);
        return Arrays.stream(shard.substring(slash + 1).split(","))
                .flatMapToInt(GrantedShards::parseRange)
                .mapToObj(index -> new LeaseTable.ShardGrant(application + "/" + index, token));
    }

    private static IntStream parseRange(String range) {
        String[] ends = range.split("-");
        int first = Integer.parseInt(ends[0]);
        int last = Integer.parseInt(ends[ends.length - 1]);
        if (last < first || last - first >= MAX_RANGE_SHARDS) {
            throw new IllegalArgumentException("shard range \"" + range + "\" is not valid");
        }
        return IntStream.rangeClosed(first, last);
    }
}
