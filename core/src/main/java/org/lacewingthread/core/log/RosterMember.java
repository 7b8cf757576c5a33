package org.lacewingthread.core.log;

import org.lacewingthread.core.id.VmStart;

/**
 * One entry VM in its data centre's roster.
 *
 * @param start the process
 * @param host IP address that other entry VMs connect to
 * @param peerPort port that other entry VMs connect to
 */
public record RosterMember(VmStart start, String host, int peerPort) {}
