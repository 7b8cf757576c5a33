/**
 * Exclusive ownership of ranges of a numeric key space.
 *
 * <p>Each keyed service has a key space of 65,536 keys. {@link
 * org.lacewingthread.core.keyrange.RangeTable} assigns its ranges to backend servers and is recorded in
 * the platform's store; {@link org.lacewingthread.core.keyrange.RangeCoordinator} is the entry point.
 * At any time at most one server may run requests for a key. These terms are used:
 *
 * <dl>
 *   <dt>Leader
 *   <dd>The entry VM process that decides the owners. It records every change of owner before it acts
 *       on it, by an append that fails if the log has grown since the leader read it.
 *   <dt>Term
 *   <dd>The number of a period of leadership. A process becomes leader by recording the table with the
 *       next term and itself as the leader; the leaders before it are former leaders.
 *   <dt>Grant
 *   <dd>A call from the leader that lets a server run requests for a range for a limited time. Each
 *       further grant of the range to the same server is a renewal.
 *   <dt>Hold
 *   <dd>The right that a grant gives. It starts when the grant arrives at the server and lasts for the
 *       time that the grant states, by the server's clock, which may run slow by a known margin.
 *   <dt>Fence
 *   <dd>A number sent with each grant. A server refuses a grant with a lower fence than it has seen on
 *       any of the keys, so a delayed grant has no effect after a newer one. Fences grow within a term,
 *       and those of a later term are higher than all earlier ones.
 *   <dt>Release
 *   <dd>A call that ends a hold. The server stops accepting requests for the range and answers once its
 *       running requests have ended.
 *   <dt>Handover
 *   <dd>A token that a server returns when it releases a range, and that the leader passes on in the
 *       grant to the next owner, so that the keys stay warm.
 *   <dt>Move
 *   <dd>A change of owner: recorded, then released by the former owner (or its hold has expired, or its
 *       process has ended), then granted to the new owner.
 * </dl>
 */
package org.lacewingthread.core.keyrange;
