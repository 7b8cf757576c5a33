package org.lacewingthread.daemon.platform;

import java.io.IOException;
import java.util.List;
import org.lacewingthread.core.id.VmId;

/** The platform's list of VMs. It lags. */
public interface VmList {
    /**
     * The list at some recent moment.
     *
     * @param live VMs listed as live
     * @param leaving VMs listed as about to leave
     */
    record Listing(List<VmId> live, List<VmId> leaving) {
        /** Copies the lists. */
        public Listing {
            live = List.copyOf(live);
            leaving = List.copyOf(leaving);
        }
    }

    /**
     * Reads the list; blocks until the adapter's timeout.
     *
     * @throws IOException if the platform can't be read
     */
    Listing read() throws IOException;
}
