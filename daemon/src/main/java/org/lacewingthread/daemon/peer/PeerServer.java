package org.lacewingthread.daemon.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * Accepts connections from other entry VMs. A connection is logged and closed if its first frame is
 * not a hello of this protocol version or if any frame is invalid.
 */
final class PeerServer {
    private static final System.Logger LOG = System.getLogger(PeerServer.class.getName());

    private final PeerMessageCodec codec;
    private final PeerNetwork.MessageListener listener;
    private final RequestHandler handler;
    private final IdempotencyRecordService records;
    private final LongSupplier clockMillis;
    private Channel channel;

    PeerServer(
            PeerMessageCodec codec,
            PeerNetwork.MessageListener listener,
            RequestHandler handler,
            IdempotencyRecordService records,
            LongSupplier clockMillis) {
        this.codec = codec;
        this.listener = listener;
        this.handler = handler;
        this.records = records;
        this.clockMillis = clockMillis;
    }

    void start(EventLoopGroup group, String host, int port) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        PeerProtocol.addFraming(socket.pipeline());
                        socket.pipeline().addLast(new PeerConnectionHandler());
                    }
                });
        var bound = bootstrap.bind(host, port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("failed to bind peer address " + host + ":" + port, bound.cause());
        }
        channel = bound.channel();
    }

    int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    void close() {
        if (channel != null) {
            channel.close().awaitUninterruptibly();
        }
    }

    /** Handles the frames of one accepted connection. */
    private final class PeerConnectionHandler extends SimpleChannelInboundHandler<PeerWire.Frame> {
        private VmStart sender;
        private RelayServer relay;

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerWire.Frame frame) {
            if (sender == null) {
                handleHello(context, frame);
                return;
            }
            if (frame.hasPing()) {
                context.writeAndFlush(PeerProtocol.pong(frame.getPing().getNumber()));
                return;
            }
            if (frame.hasRecordPut()) {
                PeerWire.RecordPut put = frame.getRecordPut();
                boolean stored = records.put(IdempotencyRecordCodec.decode(put.getRecord()));
                context.writeAndFlush(IdempotencyRecordCodec.encodeAcknowledgement(put.getNumber(), stored));
                return;
            }
            if (frame.hasRecordsWanted()) {
                PeerWire.RecordsWanted wanted = frame.getRecordsWanted();
                IdempotencyRecordService.CollectReply reply =
                        records.recordsOf(IdempotencyRecordCodec.decodeShards(wanted));
                context.writeAndFlush(IdempotencyRecordCodec.encodeCollectReply(wanted.getNumber(), reply));
                return;
            }
            if (relay != null) {
                relay.onFrame(frame);
                return;
            }
            codec.decode(frame).ifPresent(message -> listener.onMessage(sender, message));
        }

        private void handleHello(ChannelHandlerContext context, PeerWire.Frame frame) {
            if (!frame.hasHello()) {
                throw new IllegalArgumentException("first frame is " + frame.getBodyCase() + ", not a hello");
            }
            PeerWire.Hello hello = frame.getHello();
            if (hello.getProtocolVersion() != PeerProtocol.VERSION) {
                throw new IllegalArgumentException("protocol version " + hello.getProtocolVersion() + " is not "
                        + PeerProtocol.VERSION + "; run the same release on both VMs");
            }
            sender = PlanCodec.decode(hello.getSender());
            if (hello.getPurpose() == PeerWire.Purpose.TRAFFIC) {
                relay = new RelayServer(context.channel(), handler, clockMillis);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (relay != null) {
                relay.onDisconnected();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "closed the connection from {1} (entry VM {0}): {2}",
                    sender,
                    context.channel().remoteAddress(),
                    cause.getMessage());
            context.close();
        }
    }
}
