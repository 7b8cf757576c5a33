/**
 * Small stand-ins of the platform's log service, the platform's list of VMs and a backend server,
 * with faults that tests and the demo can cause.
 *
 * <p>Start at {@link org.lacewingthread.standin.LogServiceStandIn},
 * {@link org.lacewingthread.standin.VmListStandIn} and
 * {@link org.lacewingthread.standin.BackendServerStandIn}; {@link org.lacewingthread.standin.StandInMain}
 * runs one of them as a process.
 */
package org.lacewingthread.standin;
