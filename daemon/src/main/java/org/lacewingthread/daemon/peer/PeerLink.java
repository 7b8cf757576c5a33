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
 * Outgoing connection to another entry VM. It is opened on demand, closed if a ping is not answered
 * in time, and reopened by the next frame after a failure. All state is confined to one event loop.
 */
final class PeerLink {
    /** Receives frames and the end of the connection; called on the link's event loop. */
    interface Listener {
        /** Called for each received frame except pongs. */
        void onFrame(PeerWire.Frame frame);

        /** Called when the connection was closed; whether the frames written to it arrived is unknown. */
        void onDisconnected();
    }

    private static final System.Logger LOG = System.getLogger(PeerLink.class.getName());
    private static final int MAX_WAITING_FRAMES = 256;

    private final RosterMember member;
    private final PeerWire.Frame hello;
    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final Listener listener;
    private final Queue<OutgoingFrame> waitingFrames = new ArrayDeque<>();
    private Channel channel;
    private boolean connecting;
    private boolean closed;
    private long lastPingNumber;
    private long unansweredPingSentMillis = -1;
    private long nextPingMillis;

    PeerLink(RosterMember member, PeerWire.Frame hello, EventLoop loop, LongSupplier clockMillis, Listener listener) {
        this.member = member;
        this.hello = hello;
        this.loop = loop;
        this.clockMillis = clockMillis;
        this.listener = listener;
    }

    /** A frame to send, and the callback that runs if it is certain that it was never written. */
    private record OutgoingFrame(PeerWire.Frame frame, Runnable onNotSent) {}

    EventLoop loop() {
        return loop;
    }

    /**
     * Sends a frame, connecting first if necessary. The frame is refused while too many frames wait for
     * the connection or too many bytes wait in the socket.
     *
     * @param onNotSent called if it is certain that the frame never left this VM
     */
    void send(PeerWire.Frame frame, Runnable onNotSent) {
        if (loop.inEventLoop()) {
            sendInLoop(new OutgoingFrame(frame, onNotSent));
        } else {
            loop.execute(() -> sendInLoop(new OutgoingFrame(frame, onNotSent)));
        }
    }

    private void sendInLoop(OutgoingFrame outgoing) {
        if (closed) {
            outgoing.onNotSent().run();
            return;
        }
        if (channel != null && channel.isActive()) {
            write(outgoing);
            return;
        }
        if (waitingFrames.size() >= MAX_WAITING_FRAMES) {
            outgoing.onNotSent().run();
            return;
        }
        waitingFrames.add(outgoing);
        connect();
    }

    private void write(OutgoingFrame outgoing) {
        if (!channel.isWritable()) {
            outgoing.onNotSent().run();
            return;
        }
        channel.writeAndFlush(outgoing.frame(), channel.voidPromise());
        pingIfDue();
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
        bootstrap.connect(member.host(), member.peerPort()).addListener(this::onConnected);
    }

    private void onConnected(io.netty.util.concurrent.Future<? super Void> future) {
        connecting = false;
        if (!future.isSuccess() || closed) {
            failWaitingFrames();
            return;
        }
        channel = ((ChannelFuture) future).channel();
        channel.writeAndFlush(hello, channel.voidPromise());
        while (!waitingFrames.isEmpty()) {
            write(waitingFrames.poll());
        }
    }

    private void failWaitingFrames() {
        while (!waitingFrames.isEmpty()) {
            waitingFrames.poll().onNotSent().run();
        }
    }

    private void pingIfDue() {
        if (unansweredPingSentMillis >= 0) {
            return;
        }
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis < nextPingMillis) {
            return;
        }
        nextPingMillis = nowMillis + PeerProtocol.PING_INTERVAL_MILLIS;
        unansweredPingSentMillis = nowMillis;
        long number = ++lastPingNumber;
        Channel pinged = channel;
        pinged.writeAndFlush(PeerProtocol.ping(number), pinged.voidPromise());
        loop.schedule(() -> closeIfUnanswered(pinged, number), PeerProtocol.PONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void closeIfUnanswered(Channel pinged, long number) {
        if (pinged != channel || unansweredPingSentMillis < 0 || lastPingNumber != number) {
            return;
        }
        LOG.log(
                System.Logger.Level.WARNING,
                "link to entry VM {0} did not answer a ping in time; closing the connection",
                member.start());
        pinged.close();
    }

    private void onChannelClosed(Channel closedChannel) {
        if (closedChannel != channel) {
            return;
        }
        channel = null;
        unansweredPingSentMillis = -1;
        nextPingMillis = 0;
        listener.onDisconnected();
    }

    /** Closes the link after a delay, so that requests in flight on it can complete. */
    void closeAfter(long delayMillis) {
        loop.schedule(this::close, delayMillis, TimeUnit.MILLISECONDS);
    }

    void close() {
        loop.execute(() -> {
            closed = true;
            failWaitingFrames();
            if (channel != null) {
                channel.close();
            }
        });
    }

    /** Handles pongs and passes all other received frames to the listener. */
    private final class FrameHandler extends SimpleChannelInboundHandler<PeerWire.Frame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerWire.Frame frame) {
            if (frame.hasPong()) {
                if (frame.getPong().getNumber() == lastPingNumber) {
                    unansweredPingSentMillis = -1;
                }
                return;
            }
            listener.onFrame(frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onChannelClosed(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(System.Logger.Level.INFO, "link to entry VM {0} failed: {1}", member.start(), cause.getMessage());
            context.close();
        }
    }
}
