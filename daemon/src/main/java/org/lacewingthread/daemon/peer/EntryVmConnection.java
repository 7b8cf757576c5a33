package org.lacewingthread.daemon.peer;

import io.netty.channel.Channel;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.daemon.exchange.RelayedRequest;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/** Handles control messages, relayed requests and idempotency records that another entry VM sends over a connection. */
final class EntryVmConnection implements PeerServer.ConnectionHandler {
    private final VmStart sender;
    private final Channel connection;
    private final Services services;
    private final Optional<RelayServer> relay;

    /**
     * What the frames of a connection are passed to.
     *
     * @param codec decodes control messages
     * @param listener receives control messages
     * @param handler handles relayed requests
     * @param records stores and returns idempotency records
     * @param clockMillis monotonic clock in milliseconds
     */
    record Services(
            PeerMessageCodec codec,
            PeerNetwork.MessageListener listener,
            RequestHandler handler,
            IdempotencyRecordService records,
            LongSupplier clockMillis) {}

    EntryVmConnection(VmStart sender, PeerWire.Purpose purpose, Channel connection, Services services) {
        this.sender = sender;
        this.connection = connection;
        this.services = services;
        this.relay = purpose == PeerWire.Purpose.TRAFFIC
                ? Optional.of(new RelayServer(
                        connection, services.handler(), EntryVmConnection::rejectRouterRequest, services.clockMillis()))
                : Optional.empty();
    }

    private static RequestHandler.Cancellation rejectRouterRequest(RelayedRequest request, ResponseSink sink) {
        throw new IllegalArgumentException(
                "request \"" + request.requestId() + "\" comes from a router, which this entry VM is not");
    }

    @Override
    public void onFrame(PeerWire.Frame frame) {
        if (frame.hasRecordPut()) {
            PeerWire.RecordPut put = frame.getRecordPut();
            boolean stored = services.records().put(IdempotencyRecordCodec.decode(put.getRecord()));
            connection.writeAndFlush(IdempotencyRecordCodec.encodeAcknowledgement(put.getNumber(), stored));
        } else if (frame.hasRecordsWanted()) {
            PeerWire.RecordsWanted wanted = frame.getRecordsWanted();
            IdempotencyRecordService.CollectReply reply =
                    services.records().recordsOf(IdempotencyRecordCodec.decodeShards(wanted));
            connection.writeAndFlush(IdempotencyRecordCodec.encodeCollectReply(wanted.getNumber(), reply));
        } else if (relay.isPresent()) {
            relay.get().onFrame(frame);
        } else {
            services.codec().decode(frame).ifPresent(message -> services.listener()
                    .onMessage(sender, message));
        }
    }

    @Override
    public void onReadComplete() {
        relay.ifPresent(RelayServer::onReadComplete);
    }

    @Override
    public void onDisconnected() {
        relay.ifPresent(RelayServer::onDisconnected);
    }
}
