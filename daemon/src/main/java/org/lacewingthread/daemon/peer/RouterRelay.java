package org.lacewingthread.daemon.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.daemon.exchange.RelayedRequest;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.daemon.peer.wire.PeerWire;
import org.lacewingthread.daemon.reading.WatchedLoop;

/**
 * Carries requests between routers, for a router that can't reach a server and another one that can. A request that was
 * never written to the connection fails as not run; one that was written before the connection failed fails as outcome
 * unknown. All methods must be called on the event loop.
 *
 * <pre>{@code
 * RouterRelay relay = new RouterRelay(self, dataCentre, traffic, handler, clock);
 * relay.listen("10.0.0.7", 7400);
 * relay.send(peer, request, sink);
 * }</pre>
 */
public final class RouterRelay {
    private final VmStart self;
    private final DataCentreId dataCentre;
    private final WatchedLoop traffic;
    private final LongSupplier clockMillis;
    private final PeerServer server;
    private final Map<RelayPeer, Link> links = new HashMap<>();

    private record Link(PeerLink link, RelayClient client) {}

    /**
     * Creates a relay; no port or connection is opened yet.
     *
     * @param self this process
     * @param traffic event loop that runs all connections; it must use the same clock
     * @param handler handles requests that other routers relay to this one
     * @param clockMillis monotonic clock in milliseconds
     */
    public RouterRelay(
            VmStart self,
            DataCentreId dataCentre,
            WatchedLoop traffic,
            RelayedRequest.Handler handler,
            LongSupplier clockMillis) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.traffic = traffic;
        this.clockMillis = clockMillis;
        this.server = new PeerServer((sender, purpose, connection) ->
                new RelayServer(connection, RouterRelay::rejectPlannedRequest, handler, clockMillis));
    }

    private static RequestHandler.Cancellation rejectPlannedRequest(RoutedRequest request, ResponseSink sink) {
        throw new IllegalArgumentException(
                "request \"" + request.requestId() + "\" was routed by a plan, which routers don't have");
    }

    /**
     * Starts to accept connections from other routers.
     *
     * @throws IOException if the address can't be bound
     */
    public void listen(String host, int port) throws IOException {
        server.start(traffic.eventLoop(), traffic::newServerChannel, host, port);
    }

    /** Relays a request to another router; returns what cancels it. */
    public RequestHandler.Cancellation send(RelayPeer peer, RelayedRequest request, ResponseSink sink) {
        return links.computeIfAbsent(peer, this::open).client().handle(request, sink);
    }

    private Link open(RelayPeer peer) {
        RelayClient client = new RelayClient(clockMillis);
        RosterMember member = new RosterMember(new VmStart(peer.vm(), 0), peer.host(), peer.port());
        PeerWire.Frame hello = PeerProtocol.hello(self, dataCentre, PeerWire.Purpose.TRAFFIC);
        PeerLink link = new PeerLink(member, hello, traffic.eventLoop(), clockMillis, new PeerLink.Listener() {
            @Override
            public void onFrame(PeerWire.Frame frame) {
                client.onFrame(frame);
            }

            @Override
            public void onDisconnected() {
                client.onDisconnected();
            }
        });
        client.attach(link);
        return new Link(link, client);
    }

    /** Closes the connections to all other routers but the given ones, once requests on them can have ended. */
    public void retainOnly(Set<RelayPeer> peers) {
        links.entrySet().removeIf(entry -> {
            boolean departed = !peers.contains(entry.getKey());
            if (departed) {
                entry.getValue().link().closeAfter(PeerProtocol.MAX_REQUEST_MILLIS);
            }
            return departed;
        });
    }
}
