package org.lacewingthread.daemon.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * Connects this entry VM with all others. Control messages and relayed requests use separate
 * connections, so that large responses never delay a heartbeat.
 *
 * <pre>{@code
 * PeerNetwork network = new PeerNetwork(self, dataCentre, logEntryCodec, listener, router, records, clock);
 * network.start("10.0.0.7", 7400);
 * network.send(member, heartbeat);
 * network.relayTo(member).handle(request, sink);
 * }</pre>
 */
public final class PeerNetwork implements AutoCloseable {
    /** Receives control messages; called on event loops, so it must not block. */
    @FunctionalInterface
    public interface MessageListener {
        /** Called for each control message from another entry VM. */
        void onMessage(VmStart sender, PeerMessage message);
    }

    private static final int EVENT_LOOP_THREADS = 2;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    private final VmStart self;
    private final DataCentreId dataCentre;
    private final PeerMessageCodec codec;
    private final LongSupplier clockMillis;
    private final PeerServer server;
    private final EventLoopGroup eventLoopGroup;
    private final Map<VmStart, PeerLink> controlLinks = new ConcurrentHashMap<>();
    private final Map<VmStart, TrafficLink> trafficLinks = new ConcurrentHashMap<>();

    /** A link for relayed requests and idempotency records, with the clients that use it. */
    private record TrafficLink(PeerLink link, RelayClient relayClient, IdempotencyRecordClient recordClient) {}

    /**
     * Creates the network; no port or connection is opened yet.
     *
     * @param self this process
     * @param dataCentre data centre of this process
     * @param logEntries encodes the log entries within control messages
     * @param listener receives control messages
     * @param handler handles requests that other entry VMs relay to this one
     * @param records stores and returns idempotency records for other entry VMs
     * @param clockMillis monotonic clock in milliseconds
     */
    public PeerNetwork(
            VmStart self,
            DataCentreId dataCentre,
            LogEntryCodec logEntries,
            MessageListener listener,
            RequestHandler handler,
            IdempotencyRecordService records,
            LongSupplier clockMillis) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.codec = new PeerMessageCodec(logEntries);
        this.clockMillis = clockMillis;
        EntryVmConnection.Services services =
                new EntryVmConnection.Services(codec, listener, handler, records, clockMillis);
        this.server = new PeerServer(
                (sender, purpose, connection) -> new EntryVmConnection(sender, purpose, connection, services));
        this.eventLoopGroup = new NioEventLoopGroup(EVENT_LOOP_THREADS);
    }

    /**
     * Starts to accept connections from other entry VMs.
     *
     * @throws IOException if the address can't be bound
     */
    public void start(String host, int port) throws IOException {
        server.start(eventLoopGroup, NioServerSocketChannel::new, host, port);
    }

    /** Returns the bound port; the system chooses one if port 0 was requested. */
    public int port() {
        return server.port();
    }

    /** Sends a control message without a delivery guarantee. */
    public void send(RosterMember member, PeerMessage message) {
        controlLinks
                .computeIfAbsent(
                        member.start(), start -> openLink(member, PeerWire.Purpose.CONTROL, new IgnoringListener()))
                .send(codec.encode(message), () -> {});
    }

    /** Returns the handler that relays requests to another entry VM. */
    public RequestHandler relayTo(RosterMember member) {
        return trafficLink(member).relayClient();
    }

    /** Asks another entry VM to store a copy of a record; the result is false if it is not acknowledged in time. */
    public void putRecord(RosterMember member, IdempotencyRecord record, Consumer<Boolean> onResult) {
        trafficLink(member).recordClient().put(record, onResult);
    }

    /** Asks another entry VM for its records of some shards; the result is empty if no reply arrives in time. */
    public void collectRecords(
            RosterMember member,
            Set<ShardId> shards,
            Consumer<Optional<IdempotencyRecordService.CollectReply>> onResult) {
        trafficLink(member).recordClient().collect(shards, onResult);
    }

    private TrafficLink trafficLink(RosterMember member) {
        return trafficLinks.computeIfAbsent(member.start(), start -> openTrafficLink(member));
    }

    /**
     * Closes the links to all processes except the given ones. Links for relayed requests are closed with a
     * delay, so that requests in flight can complete.
     */
    public void retainOnly(Set<VmStart> members) {
        controlLinks.entrySet().removeIf(entry -> {
            boolean departed = !members.contains(entry.getKey());
            if (departed) {
                entry.getValue().close();
            }
            return departed;
        });
        trafficLinks.entrySet().removeIf(entry -> {
            boolean departed = !members.contains(entry.getKey());
            if (departed) {
                entry.getValue().link().closeAfter(PeerProtocol.MAX_REQUEST_MILLIS);
            }
            return departed;
        });
    }

    private TrafficLink openTrafficLink(RosterMember member) {
        RelayClient client = new RelayClient(clockMillis);
        IdempotencyRecordClient records = new IdempotencyRecordClient();
        PeerLink link = openLink(member, PeerWire.Purpose.TRAFFIC, new TrafficListener(client, records));
        client.attach(link);
        records.attach(link);
        return new TrafficLink(link, client, records);
    }

    private PeerLink openLink(RosterMember member, PeerWire.Purpose purpose, PeerLink.Listener listener) {
        PeerWire.Frame hello = PeerProtocol.hello(self, dataCentre, purpose);
        return new PeerLink(member, hello, eventLoopGroup.next(), clockMillis, listener);
    }

    @Override
    public void close() {
        server.close();
        controlLinks.values().forEach(PeerLink::close);
        trafficLinks.values().forEach(relay -> relay.link().close());
        eventLoopGroup
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    /** Passes frames received over a traffic link to the client that they belong to. */
    private record TrafficListener(RelayClient client, IdempotencyRecordClient records) implements PeerLink.Listener {
        @Override
        public void onFrame(PeerWire.Frame frame) {
            if (!records.onFrame(frame)) {
                client.onFrame(frame);
            }
        }

        @Override
        public void onDisconnected() {
            client.onDisconnected();
            records.onDisconnected();
        }
    }

    /** Listener of control links, on which only pongs are received. */
    private static final class IgnoringListener implements PeerLink.Listener {
        @Override
        public void onFrame(PeerWire.Frame frame) {}

        @Override
        public void onDisconnected() {}
    }
}
