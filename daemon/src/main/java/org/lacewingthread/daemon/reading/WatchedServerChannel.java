package org.lacewingthread.daemon.reading;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.function.LongSupplier;
import org.lacewingthread.core.arrival.LoopProgress;
import org.lacewingthread.core.arrival.ReadProgress;

/** Accepts connections as {@link WatchedChannel}. */
final class WatchedServerChannel extends NioServerSocketChannel {
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
        accepted.add(new WatchedChannel(this, socket, reads, clockMillis));
        return 1;
    }
}
