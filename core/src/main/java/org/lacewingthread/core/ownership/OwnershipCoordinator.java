package org.lacewingthread.core.ownership;

import org.lacewingthread.core.id.ServerId;

/**
 * Decides on shard ownership on behalf of the leader during one term. Each term has a new instance.
 *
 * <p>A shard moves in these steps:
 *
 * <ol>
 *   <li>A plan without the shard is published.
 *   <li>The old dispatcher has stopped using older plans.
 *   <li>If the old server checks tokens, it has acknowledged the release or its last possible lease has expired.
 *   <li>The new assignment has been read back from the log. While the log is unreachable, the new owner is
 *       taken from the recorded failover list instead.
 *   <li>If the new server checks tokens, it has confirmed the grant of the shard.
 *   <li>A plan with the new owner is published.
 * </ol>
 *
 * <p>If the old server can still serve the shard and the log is reachable, the assignment is recorded before the
 * first step, so that the shard is served until then.
 */
public interface OwnershipCoordinator {
    /**
     * Decides what to do next. Called after every event and at least every few tens of milliseconds.
     *
     * @param inputs what the leader knows
     * @param nowMillis monotonic time in milliseconds
     */
    OwnershipActions step(OwnershipInputs inputs, long nowMillis);

    /** Records that a server accepted or refused an order. */
    void orderAnswered(ServerId server, long sequence, boolean accepted, long nowMillis);

    /** Records that an order failed. The order may still have taken effect. */
    void orderFailed(ServerId server, long sequence, long nowMillis);
}
