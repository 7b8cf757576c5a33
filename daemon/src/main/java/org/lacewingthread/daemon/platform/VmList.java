package org.lacewingthread.daemon.platform;

import java.io.IOException;
import java.util.List;
import org.lacewingthread.core.id.VmId;

/** The platform's list of VMs. The list is updated with a delay, so that it may be outdated. */
public interface VmList {
    /**
     * Content of the list at a recent time.
     *
     * @param live ids of the VMs listed as live
     * @param leaving ids of the VMs listed as about to stop
     */
    record Listing(List<VmId> live, List<VmId> leaving) {
        /** Copies the lists. */
        public Listing {
            live = List.copyOf(live);
            leaving = List.copyOf(leaving);
        }
    }

    /**
     * Reads the list. Blocks until the response is read or the timeout of the implementation expires.
     *
     * @throws IOException if the list can't be read or its content is not valid
     */
    Listing read() throws IOException;
}
