/**
 * Leader election, roster membership and leases of the entry VMs of one data centre.
 *
 * <p>{@link org.lacewingthread.core.lease.EntryVmStateMachine} combines the components of this package.
 */
package org.lacewingthread.core.lease;
