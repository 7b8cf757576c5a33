package org.lacewingthread.daemon.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/** Options of the sockets of outgoing connections. */
final class OutboundSockets {
    /** Start of TCP keep-alive probes; with two probes one second apart, a dead peer is detected in about 3 s. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBE_COUNT = 2;

    private OutboundSockets() {}

    /** Returns a bootstrap without a handler. */
    static Bootstrap bootstrap(EventLoop eventLoop, int connectTimeoutMillis) {
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBE_COUNT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    }
}
