package org.lacewingthread.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/**
 * One outgoing connection to another entry VM, opened on demand and replaced when it fails or goes
 * silent. All state belongs to one event loop.
 */
final class PeerLink {
    /** Takes what comes back over the link. Called on the link's event loop. */
    interface Listener {
        /** A frame arrived. */
        void onFrame(PeerWire.Frame frame);

        /** The connection is gone; frames handed to it may or may not have arrived. */
        void onDisconnected();
    }

    private static final System.Logger LOG = System.getLogger(PeerLink.class.getName());
    private static final int MAX_WAITING_FRAMES = 256;

    private final RosterMember member;
    private final PeerWire.Frame hello;
    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final Listener listener;
    private final Queue<Outgoing> waiting = new ArrayDeque<>();
    private Channel channel;
    private boolean connecting;
    private boolean closed;
    private long pingNumber;
    private long unansweredSinceMillis = -1;
    private long pingDueMillis;

    PeerLink(RosterMember member, PeerWire.Frame hello, EventLoop loop, LongSupplier clockMillis, Listener listener) {
        this.member = member;
        this.hello = hello;
        this.loop = loop;
        this.clockMillis = clockMillis;
        this.listener = listener;
    }

    /** A frame that waits for the connection, and what to do if it was never written. */
    private record Outgoing(PeerWire.Frame frame, Runnable notSent) {}

    EventLoop loop() {
        return loop;
    }

    /**
     * Sends a frame, connecting first if need be.
     *
     * @param notSent run if the frame provably never left this VM
     */
    void send(PeerWire.Frame frame, Runnable notSent) {
        if (loop.inEventLoop()) {
            sendInLoop(new Outgoing(frame, notSent));
        } else {
            loop.execute(() -> sendInLoop(new Outgoing(frame, notSent)));
        }
    }

    private void sendInLoop(Outgoing outgoing) {
        if (closed) {
            outgoing.notSent().run();
            return;
        }
        if (channel != null && channel.isActive()) {
            write(outgoing);
            return;
        }
        if (waiting.size() >= MAX_WAITING_FRAMES) {
            outgoing.notSent().run();
            return;
        }
        waiting.add(outgoing);
        connect();
    }

    private void write(Outgoing outgoing) {
        if (!channel.isWritable()) {
            outgoing.notSent().run();
            return;
        }
        channel.writeAndFlush(outgoing.frame(), channel.voidPromise());
        schedulePing();
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) PeerProtocol.CONNECT_TIMEOUT_MILLIS)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(PeerProtocol.MAX_UNSENT_BYTES / 2, PeerProtocol.MAX_UNSENT_BYTES))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        PeerProtocol.addFraming(socket.pipeline());
                        socket.pipeline().addLast(new FrameHandler());
                    }
                });
        bootstrap.connect(member.host(), member.peerPort()).addListener(this::connected);
    }

    private void connected(io.netty.util.concurrent.Future<? super Void> future) {
        connecting = false;
        if (!future.isSuccess() || closed) {
            failWaiting();
            return;
        }
        channel = ((ChannelFuture) future).channel();
        channel.writeAndFlush(hello, channel.voidPromise());
        while (!waiting.isEmpty()) {
            write(waiting.poll());
        }
    }

    private void failWaiting() {
        while (!waiting.isEmpty()) {
            waiting.poll().notSent().run();
        }
    }

    private void schedulePing() {
        if (unansweredSinceMillis >= 0) {
            return;
        }
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis < pingDueMillis) {
            return;
        }
        pingDueMillis = nowMillis + PeerProtocol.PING_INTERVAL_MILLIS;
        unansweredSinceMillis = nowMillis;
        long number = ++pingNumber;
        Channel pinged = channel;
        pinged.writeAndFlush(PeerProtocol.ping(number), pinged.voidPromise());
        loop.schedule(() -> checkSilence(pinged, number), PeerProtocol.SILENCE_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void checkSilence(Channel pinged, long number) {
        if (pinged != channel || unansweredSinceMillis < 0 || pingNumber != number) {
            return;
        }
        LOG.log(System.Logger.Level.WARNING, "link to entry VM {0} is silent; replacing it", member.start());
        pinged.close();
    }

    private void disconnected(Channel gone) {
        if (gone != channel) {
            return;
        }
        channel = null;
        unansweredSinceMillis = -1;
        pingDueMillis = 0;
        listener.onDisconnected();
    }

    /** Closes the link later, so that requests in flight on it can end. */
    void closeAfter(long millis) {
        loop.schedule(this::close, millis, TimeUnit.MILLISECONDS);
    }

    void close() {
        loop.execute(() -> {
            closed = true;
            failWaiting();
            if (channel != null) {
                channel.close();
            }
        });
    }

    /** Reads what comes back over the connection. */
    private final class FrameHandler extends SimpleChannelInboundHandler<PeerWire.Frame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerWire.Frame frame) {
            if (frame.hasPong()) {
                if (frame.getPong().getNumber() == pingNumber) {
                    unansweredSinceMillis = -1;
                }
                return;
            }
            listener.onFrame(frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            disconnected(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(System.Logger.Level.INFO, "link to entry VM {0} failed: {1}", member.start(), cause.getMessage());
            context.close();
        }
    }
}
