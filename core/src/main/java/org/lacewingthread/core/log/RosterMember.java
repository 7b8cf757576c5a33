package org.lacewingthread.core.log;

import org.lacewingthread.core.id.VmStart;

/**
 * An entry VM in the roster of its data centre.
 *
 * @param start process of the entry VM
 * @param host IP address that other entry VMs connect to
 * @param peerPort port that other entry VMs connect to
 */
public record RosterMember(VmStart start, String host, int peerPort) {}
