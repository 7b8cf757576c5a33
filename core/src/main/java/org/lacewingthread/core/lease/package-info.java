/**
 * Leases between the entry VMs of one data centre: who leads, who may send requests, who is a member.
 *
 * <p>{@link org.lacewingthread.core.lease.EntryVmStateMachine} composes the parts.
 */
package org.lacewingthread.core.lease;
