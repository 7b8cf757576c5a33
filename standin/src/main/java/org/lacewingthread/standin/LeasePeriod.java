package org.lacewingthread.standin;

/**
 * A stretch of time during which a backend server held a lease on a shard. Times are those of the
 * machine's monotonic clock.
 *
 * @param server the server
 * @param shard the shard
 * @param token its fencing token
 * @param fromMicros when the lease began
 * @param untilMicros when it ended; its deadline if it still runs
 */
public record LeasePeriod(String server, String shard, String token, long fromMicros, long untilMicros) {}
