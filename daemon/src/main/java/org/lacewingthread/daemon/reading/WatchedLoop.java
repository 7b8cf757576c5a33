package org.lacewingthread.daemon.reading;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.IntSupplier;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.arrival.LoopProgress;

/**
 * An event loop of one thread that knows up to what time it has read its sockets.
 *
 * <pre>{@code
 * WatchedLoop traffic = new WatchedLoop("traffic", clockMillis, lateMillis -> metrics.onLatePass(lateMillis));
 * bootstrap.group(traffic.eventLoop()).channelFactory(traffic::newServerChannel);
 * }</pre>
 */
public final class WatchedLoop {
    private final LongSupplier clockMillis;
    private final LoopProgress progress;
    private final LongConsumer passListener;
    private final NioEventLoopGroup group;

    /**
     * Creates a loop.
     *
     * @param name name of its thread
     * @param clockMillis monotonic clock in milliseconds
     * @param passListener receives the time between the beginnings of two passes, in milliseconds, on the loop
     */
    public WatchedLoop(String name, LongSupplier clockMillis, LongConsumer passListener) {
        this.clockMillis = clockMillis;
        this.progress = new LoopProgress(clockMillis.getAsLong());
        this.passListener = passListener;
        this.group = new NioEventLoopGroup(
                1, new DefaultThreadFactory(name, true), SelectorProvider.provider(), () -> new PassRecorder());
    }

    /** Returns the loop. */
    public EventLoop eventLoop() {
        return group.next();
    }

    /** Creates a listening channel whose connections know up to what time they were read. */
    public NioServerSocketChannel newServerChannel() {
        return new WatchedServerChannel(progress, clockMillis);
    }

    /** Returns how long ago the oldest bytes can have arrived that are not read yet, in milliseconds. */
    public long readAgeMillis() {
        return clockMillis.getAsLong() - progress.readUntilMillis();
    }

    /** Ends the loop and closes its channels. */
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Records the beginning of each pass; which sockets can be read is asked for after that. */
    private final class PassRecorder implements SelectStrategy {
        private final SelectStrategy standard = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();

        @Override
        public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
            passListener.accept(progress.onPass(clockMillis.getAsLong()));
            return standard.calculateStrategy(selectNow, hasTasks);
        }
    }
}
