package org.lacewingthread.daemon.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.daemon.dispatch.RelayDirectory;
import org.lacewingthread.daemon.dispatch.TrafficState;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.peer.PeerNetwork;

/** Finds other entry VMs in the rosters of the newest view; takes those of another data centre in turn. */
final class RosterRelays implements RelayDirectory {
    private final TrafficState state;
    private final PeerNetwork network;
    private final AtomicInteger turn = new AtomicInteger();

    RosterRelays(TrafficState state, PeerNetwork network) {
        this.state = state;
        this.network = network;
    }

    @Override
    public Optional<RequestHandler> toVm(VmStart vm) {
        return view().flatMap(view -> view.state().dataCentre(view.dataCentre()).member(vm))
                .map(network::relayTo);
    }

    @Override
    public Optional<RequestHandler> toDataCentre(DataCentreId dataCentre) {
        List<RosterMember> members =
                view().map(view -> view.state().roster(dataCentre)).orElse(List.of());
        if (members.isEmpty()) {
            return Optional.empty();
        }
        int index = Math.floorMod(turn.getAndIncrement(), members.size());
        return Optional.of(network.relayTo(members.get(index)));
    }

    private Optional<ControlView> view() {
        return Optional.ofNullable(state.snapshot().view());
    }
}
