package org.lacewingthread.daemon.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/** Version, limits and framing of the protocol between entry VMs. */
final class PeerProtocol {
    static final int VERSION = 1;
    static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;
    static final int LENGTH_FIELD_BYTES = 4;

    /** Bytes waiting in a link's socket above which further frames are refused. */
    static final int MAX_UNSENT_BYTES = 4 * 1024 * 1024;

    static final long CONNECT_TIMEOUT_MILLIS = 300;
    static final long PING_INTERVAL_MILLIS = 200;
    static final long PONG_TIMEOUT_MILLIS = 600;

    /** Longest time that a caller waits for a response. */
    static final long MAX_REQUEST_MILLIS = 60_000;

    private PeerProtocol() {}

    static void addFraming(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufDecoder(PeerWire.Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }

    static PeerWire.Frame hello(VmStart self, DataCentreId dataCentre, PeerWire.Purpose purpose) {
        return PeerWire.Frame.newBuilder()
                .setHello(PeerWire.Hello.newBuilder()
                        .setProtocolVersion(VERSION)
                        .setSender(PlanCodec.encode(self))
                        .setDataCentre(dataCentre.value())
                        .setPurpose(purpose))
                .build();
    }

    static PeerWire.Frame ping(long number) {
        return PeerWire.Frame.newBuilder()
                .setPing(PeerWire.Ping.newBuilder().setNumber(number))
                .build();
    }

    static PeerWire.Frame pong(long number) {
        return PeerWire.Frame.newBuilder()
                .setPong(PeerWire.Pong.newBuilder().setNumber(number))
                .build();
    }
}
