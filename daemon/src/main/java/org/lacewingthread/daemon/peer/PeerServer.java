package org.lacewingthread.daemon.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * Accepts connections from other entry VMs. A connection is logged and closed if its first frame is
 * not a hello of this protocol version or if any frame is invalid.
 */
final class PeerServer {
    private static final System.Logger LOG = System.getLogger(PeerServer.class.getName());

    private final ConnectionHandler.Factory handlers;
    private Channel channel;

    /** Handles the frames of one accepted connection, apart from its hello and pings. */
    interface ConnectionHandler {
        /** Called for each frame. */
        void onFrame(PeerWire.Frame frame);

        /** Called when all frames of a read were handed over. */
        void onReadComplete();

        /** Called when the connection was closed. */
        void onDisconnected();

        /** Creates the handlers of accepted connections. */
        interface Factory {
            /**
             * Creates the handler of a connection.
             *
             * @param sender process that opened the connection
             * @param purpose what it will use the connection for
             */
            ConnectionHandler create(VmStart sender, PeerWire.Purpose purpose, Channel connection);
        }
    }

    PeerServer(ConnectionHandler.Factory handlers) {
        this.handlers = handlers;
    }

    void start(EventLoopGroup group, ChannelFactory<? extends ServerChannel> channels, String host, int port)
            throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channelFactory(channels)
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
        private ConnectionHandler handler;

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerWire.Frame frame) {
            if (sender == null) {
                handleHello(context, frame);
            } else if (frame.hasPing()) {
                context.writeAndFlush(PeerProtocol.pong(frame.getPing().getNumber()));
            } else {
                handler.onFrame(frame);
            }
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
            handler = handlers.create(sender, hello.getPurpose(), context.channel());
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (handler != null) {
                handler.onReadComplete();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (handler != null) {
                handler.onDisconnected();
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
