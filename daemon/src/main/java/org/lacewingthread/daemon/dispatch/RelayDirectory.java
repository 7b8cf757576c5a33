package org.lacewingthread.daemon.dispatch;

import java.util.Optional;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.daemon.exchange.RequestHandler;

/** Looks up the handlers that relay requests to other entry VMs. */
public interface RelayDirectory {
    /** An empty directory, for a VM that can reach no other. */
    RelayDirectory NONE = new RelayDirectory() {
        @Override
        public Optional<RequestHandler> toVm(VmStart vm) {
            return Optional.empty();
        }

        @Override
        public Optional<RequestHandler> toDataCentre(DataCentreId dataCentre) {
            return Optional.empty();
        }
    };

    /** Returns a relay to an entry VM of this data centre, or empty if it can't be reached. */
    Optional<RequestHandler> toVm(VmStart vm);

    /** Returns a relay to some entry VM of another data centre, or empty if none can be reached. */
    Optional<RequestHandler> toDataCentre(DataCentreId dataCentre);
}
