package org.lacewingthread.daemon.reading;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.LongSupplier;
import org.lacewingthread.core.arrival.ReadProgress;

/**
 * An accepted connection that can be read up to the present, so that its end is known although the event loop is held up.
 * All methods must be called on the event loop.
 *
 * <pre>{@code
 * if (WatchedChannel.isOpenNow(channel)) {
 *     // The peer had not left when this was asked.
 * }
 * }</pre>
 */
public final class WatchedChannel extends NioSocketChannel {
    /** Reads at a time; what a peer sent beyond that hides the end of its connection until the loop has read it. */
    private static final int MAX_READS = 4;
    /** Bytes that are read while reading is paused, since only they may hide the end of the connection. */
    private static final int MAX_BYTES_WHILE_PAUSED = 16_384;

    private final ReadProgress reads;
    private final LongSupplier clockMillis;
    private int bytesWhilePaused;
    private boolean reading;
    private boolean readAhead;
    private boolean inputEnded;

    WatchedChannel(Channel parent, SocketChannel socket, ReadProgress reads, LongSupplier clockMillis) {
        super(parent, socket);
        this.reads = reads;
        this.clockMillis = clockMillis;
    }

    /** Returns whether the connection is open, after reading it if it was not read of late. */
    public static boolean isOpenNow(Channel channel) {
        if (channel instanceof WatchedChannel watched) {
            watched.readUpToNow();
        }
        return channel.isActive() && !(channel instanceof WatchedChannel ended && ended.inputEnded);
    }

    /** Returns whether what is being decoded was read although reading is paused. */
    public static boolean isReadAhead(Channel channel) {
        return channel instanceof WatchedChannel watched && watched.readAhead;
    }

    /** Runs a task that follows a read, once it is known whether the connection ended with what was read. */
    public static void afterRead(Channel channel, Runnable task) {
        if (channel instanceof WatchedChannel watched && watched.reading) {
            channel.eventLoop().execute(task);
        } else {
            task.run();
        }
    }

    /** Returns when what was read last arrived, in milliseconds; the present for a connection of another type. */
    public static long arrivedMillis(Channel channel, LongSupplier clockMillis) {
        return channel instanceof WatchedChannel watched ? watched.reads.arrivedMillis() : clockMillis.getAsLong();
    }

    /** Reads a connection whose reading was paused or is resumed. */
    public static void setReading(Channel channel, boolean on) {
        if (channel instanceof WatchedChannel watched) {
            watched.reads.onWatched(on, watched.clockMillis.getAsLong());
            watched.bytesWhilePaused = on ? 0 : watched.bytesWhilePaused;
        }
        channel.config().setAutoRead(on);
    }

    /** Reads what has arrived; the handlers decode it at once, so that none may be at that already. */
    private void readUpToNow() {
        if (reading) {
            return;
        }
        reading = true;
        try {
            for (int i = 0; i < MAX_READS && mayRead() && !reads.isCurrent(clockMillis.getAsLong()); i++) {
                readAhead = !config().isAutoRead();
                unsafe().read();
            }
        } finally {
            reading = false;
            readAhead = false;
        }
    }

    private boolean mayRead() {
        return isActive() && (config().isAutoRead() || bytesWhilePaused < MAX_BYTES_WHILE_PAUSED);
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        int count = super.doReadBytes(buffer);
        inputEnded |= count < 0;
        reads.onRead(count > 0, clockMillis.getAsLong());
        if (!config().isAutoRead()) {
            bytesWhilePaused += Math.max(0, count);
        }
        return count;
    }
}
