/**
 * Small stand-ins for the platform's log service, the platform's list of VMs and a backend server, in
 * which tests and the demo can inject faults.
 *
 * <p>The main classes are {@link org.lacewingthread.standin.LogServiceStandIn},
 * {@link org.lacewingthread.standin.VmListStandIn} and
 * {@link org.lacewingthread.standin.BackendServerStandIn}; {@link org.lacewingthread.standin.StandInMain}
 * runs one of them as a process.
 */
package org.lacewingthread.standin;
