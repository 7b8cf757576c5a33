package org.lacewingthread.core.keyrange;

import org.lacewingthread.core.id.VmStart;

/**
 * The process that leads the key ranges.
 *
 * @param process the process
 * @param reportHost IP address that takes load reports of the other entry VMs
 * @param reportPort port that takes them
 */
public record Leader(VmStart process, String reportHost, int reportPort) {
    /** Checks that the process and its address are named. */
    public Leader {
        if (process == null || reportHost == null || reportHost.isEmpty()) {
            throw new IllegalArgumentException("leader " + process + " at \"" + reportHost + "\" is not complete");
        }
    }
}
