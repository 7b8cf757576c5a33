package org.lacewingthread.daemon.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.dispatch.RelayDirectory;
import org.lacewingthread.daemon.dispatch.TrafficState;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.peer.PeerNetwork;

/**
 * Looks up relays to other entry VMs in the rosters of the current view. Members of another data
 * centre are chosen round-robin; members that failed recently are skipped for a short time.
 */
final class RosterRelayDirectory implements RelayDirectory {
    private static final long UNREACHABLE_BACKOFF_MILLIS = 500;

    private final TrafficState state;
    private final PeerNetwork network;
    private final LongSupplier clockMillis;
    private final Map<VmStart, Long> backoffUntilMillis = new ConcurrentHashMap<>();
    private final AtomicInteger nextMemberIndex = new AtomicInteger();

    RosterRelayDirectory(TrafficState state, PeerNetwork network, LongSupplier clockMillis) {
        this.state = state;
        this.network = network;
        this.clockMillis = clockMillis;
    }

    @Override
    public Optional<RequestHandler> toVm(VmStart vm) {
        return currentView()
                .flatMap(view -> view.state().dataCentre(view.dataCentre()).member(vm))
                .filter(this::isBackoffOver)
                .map(this::relayTo);
    }

    @Override
    public Optional<RequestHandler> toDataCentre(DataCentreId dataCentre) {
        List<RosterMember> members =
                currentView().map(view -> view.state().roster(dataCentre)).orElse(List.of()).stream()
                        .filter(this::isBackoffOver)
                        .toList();
        if (members.isEmpty()) {
            return Optional.empty();
        }
        int index = Math.floorMod(nextMemberIndex.getAndIncrement(), members.size());
        return Optional.of(relayTo(members.get(index)));
    }

    private boolean isBackoffOver(RosterMember member) {
        return backoffUntilMillis.getOrDefault(member.start(), Long.MIN_VALUE) <= clockMillis.getAsLong();
    }

    /** Returns a relay to a member that starts the member's backoff if it can't be reached or the link is lost. */
    private RequestHandler relayTo(RosterMember member) {
        RequestHandler relay = network.relayTo(member);
        return (request, sink) -> relay.handle(request, new ReachabilityTracker(member.start(), sink));
    }

    /** Forwards a response and starts the member's backoff if the relay to it failed. */
    private final class ReachabilityTracker implements ResponseSink {
        private final VmStart member;
        private final ResponseSink sink;

        ReachabilityTracker(VmStart member, ResponseSink sink) {
            this.member = member;
            this.sink = sink;
        }

        @Override
        public boolean isAbandoned() {
            return sink.isAbandoned();
        }

        @Override
        public void onHead(ResponseStatus status, List<HeaderField> headers) {
            sink.onHead(status, headers);
        }

        @Override
        public void onBody(byte[] chunk, Runnable consumed) {
            sink.onBody(chunk, consumed);
        }

        @Override
        public void onEnd() {
            sink.onEnd();
        }

        @Override
        public void onFailure(Failure failure) {
            boolean unreachable = failure.code() == ResultCode.RELAY_UNREACHABLE;
            if (unreachable || failure.code() == ResultCode.RELAY_LOST) {
                backoffUntilMillis.put(member, clockMillis.getAsLong() + UNREACHABLE_BACKOFF_MILLIS);
            }
            sink.onFailure(failure);
        }
    }

    private Optional<ControlView> currentView() {
        return Optional.ofNullable(state.snapshot().view());
    }
}
