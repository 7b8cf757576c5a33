package org.lacewingthread.daemon.reading;

import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.function.LongSupplier;
import org.lacewingthread.core.arrival.LoopProgress;
import org.lacewingthread.core.arrival.ReadProgress;

/** Accepts connections as {@link WatchedChannel}. */
final class WatchedServerChannel extends NioServerSocketChannel {
    private static final System.Logger LOG = System.getLogger(WatchedServerChannel.class.getName());

    private final LoopProgress loop;
    private final LongSupplier clockMillis;
    /** How far the waiting connections were accepted, which takes several passes if there are many. */
    private final ReadProgress accepts;

    WatchedServerChannel(LoopProgress loop, LongSupplier clockMillis) {
        this.loop = loop;
        this.clockMillis = clockMillis;
        this.accepts = new ReadProgress(loop, clockMillis.getAsLong());
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = SocketUtils.accept(javaChannel());
        long nowMillis = clockMillis.getAsLong();
        ReadProgress reads = new ReadProgress(loop, accepts.readUntilMillis(), nowMillis);
        accepts.onRead(socket != null, nowMillis);
        if (socket == null) {
            return 0;
        }
        return addTo(accepted, socket, reads);
    }

    /** Gives up only the one connection if its channel can't be created; an exception would close the listening channel. */
    private int addTo(List<Object> accepted, SocketChannel socket, ReadProgress reads) throws IOException {
        try {
            accepted.add(new WatchedChannel(this, socket, reads, clockMillis));
            return 1;
        } catch (ChannelException e) {
            LOG.log(System.Logger.Level.WARNING, "an accepted connection can''t be used: {0}", e.getMessage());
            socket.close();
            return 0;
        }
    }
}
