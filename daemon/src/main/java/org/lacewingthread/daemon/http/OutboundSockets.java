package org.lacewingthread.daemon.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Options of the sockets of outgoing connections, and the bound of reads that all connections have. */
public final class OutboundSockets {
    /** Start of TCP keep-alive probes; with two probes one second apart, a dead peer is detected in about 3 s. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBE_COUNT = 2;

    /** Most bytes that one connection reads before the others have their turn; some 3,000 chunks of one byte. */
    private static final int MAX_READ_BYTES = 16_384;

    private static final int FIRST_READ_BYTES = 2_048;

    private OutboundSockets() {}

    /** Returns a bootstrap without a handler. */
    static Bootstrap bootstrap(EventLoop eventLoop, int connectTimeoutMillis) {
        return new Bootstrap()
                .group(eventLoop)
                .channelFactory(TrackedChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, boundedReads())
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBE_COUNT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    }

    /** Returns an allocator of one read per turn, so that no connection can keep the event loop from the others. */
    public static RecvByteBufAllocator boundedReads() {
        return new AdaptiveRecvByteBufAllocator(512, FIRST_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1);
    }
}
