package org.lacewingthread.core.ownership;

import org.lacewingthread.core.id.ServerId;

/**
 * A leader's decisions on ownership within one term. A new one is made for each term.
 *
 * <p>A shard moves in this order: a plan without the shard; the old dispatcher has left the older
 * plan; a server that checks tokens acknowledged its release or its last possible lease ran out; the
 * assignment is read back from the log (with the log out it follows the failover list instead); a
 * server that checks tokens was granted the shard; a plan with the new owner.
 */
public interface OwnershipCoordinator {
    /**
     * Decides what to do next; called after every event and at least every few tens of milliseconds.
     *
     * @param inputs what the leader knows
     * @param nowMillis monotonic time
     */
    OwnershipActions step(OwnershipInputs inputs, long nowMillis);

    /** Takes in that a server answered an order. */
    void orderAnswered(ServerId server, long sequence, boolean accepted, long nowMillis);

    /** Takes in that an order failed and may still have taken effect. */
    void orderFailed(ServerId server, long sequence, long nowMillis);
}
