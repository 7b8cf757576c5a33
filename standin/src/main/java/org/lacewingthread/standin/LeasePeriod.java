package org.lacewingthread.standin;

/**
 * A period during which a backend server held a lease on a shard. Times are those of the machine's
 * monotonic clock.
 *
 * @param server name of the server
 * @param shard shard in the form {@code application/index}
 * @param token fencing token of the lease
 * @param fromMicros when the lease began
 * @param untilMicros when the lease was released, replaced or expired; the expiry of a lease still in force
 */
public record LeasePeriod(String server, String shard, String token, long fromMicros, long untilMicros) {}
