package org.lacewingthread.core.keyrange;

import org.lacewingthread.core.id.VmStart;

/**
 * The leader of a term: the entry VM process that decides which server owns which key range.
 *
 * @param process one start of the process on its entry VM
 * @param reportHost IP address to which the other entry VMs send their load reports
 * @param reportPort port to which they send them
 */
public record Leader(VmStart process, String reportHost, int reportPort) {
    /**
     * Checks the process and its address.
     *
     * @throws IllegalArgumentException if the process or the host is missing
     */
    public Leader {
        if (process == null || reportHost == null || reportHost.isEmpty()) {
            throw new IllegalArgumentException(
                    "leader needs a process and a host; process: " + process + ", host: \"" + reportHost + "\"");
        }
    }
}
