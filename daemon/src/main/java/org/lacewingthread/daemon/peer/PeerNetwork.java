package org.lacewingthread.daemon.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
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
 * Links of this entry VM to all others: control messages and relayed requests, on connections of
 * their own, so that bulk answers never hold up a heartbeat.
 *
 * <pre>{@code
 * PeerNetwork network = new PeerNetwork(self, dataCentre, codec, control::receive, router, records, clock);
 * network.start("10.0.0.7", 7400);
 * network.send(member, heartbeat);
 * network.relayTo(member).handle(request, sink);
 * }</pre>
 */
public final class PeerNetwork implements AutoCloseable {
    /** Takes control messages; called on event loops, so it must not block. */
    @FunctionalInterface
    public interface MessageListener {
        /** A message arrived from another entry VM. */
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

    /** A relay with its link. */
    private record TrafficLink(PeerLink link, RelayClient relayClient, IdempotencyRecordClient recordClient) {}

    /**
     * Creates the network without opening anything.
     *
     * @param self this process
     * @param dataCentre its data centre
     * @param logEntries codec of log records handed on between VMs
     * @param listener takes control messages
     * @param handler takes requests that other entry VMs relay to this one
     * @param records keeps and gives idempotency records for other entry VMs
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
        this.server = new PeerServer(codec, listener, handler, records, clockMillis);
        this.eventLoopGroup = new NioEventLoopGroup(EVENT_LOOP_THREADS);
    }

    /**
     * Accepts connections.
     *
     * @throws IOException if the address can't be bound
     */
    public void start(String host, int port) throws IOException {
        server.start(eventLoopGroup, host, port);
    }

    /** Returns the port that accepts connections. */
    public int port() {
        return server.port();
    }

    /** Sends a control message; it may be lost. */
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

    /** Asks another entry VM to keep a copy of a record; the result is false without its acknowledgement. */
    public void putRecord(RosterMember member, IdempotencyRecord record, Consumer<Boolean> onResult) {
        trafficLink(member).recordClient().put(record, onResult);
    }

    /** Asks another entry VM for the records of some shards; the result is empty without its answer. */
    public void collectRecords(
            RosterMember member,
            Set<ShardId> shards,
            Consumer<Optional<IdempotencyRecordService.CollectReply>> onResult) {
        trafficLink(member).recordClient().collect(shards, onResult);
    }

    private TrafficLink trafficLink(RosterMember member) {
        return trafficLinks.computeIfAbsent(member.start(), start -> openTrafficLink(member));
    }

    /** Closes the links to all processes but these; requests in flight to the others may still end. */
    public void retainOnly(Set<VmStart> members) {
        controlLinks.entrySet().removeIf(entry -> {
            boolean gone = !members.contains(entry.getKey());
            if (gone) {
                entry.getValue().close();
            }
            return gone;
        });
        trafficLinks.entrySet().removeIf(entry -> {
            boolean gone = !members.contains(entry.getKey());
            if (gone) {
                entry.getValue().link().closeAfter(PeerProtocol.MAX_REQUEST_MILLIS);
            }
            return gone;
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

    /** Hands what comes back over a traffic link to those who wait for it. */
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

    /** Control links carry nothing back but pongs. */
    private static final class IgnoringListener implements PeerLink.Listener {
        @Override
        public void onFrame(PeerWire.Frame frame) {}

        @Override
        public void onDisconnected() {}
    }
}
