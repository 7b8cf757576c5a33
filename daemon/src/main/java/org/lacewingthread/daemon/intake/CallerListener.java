package org.lacewingthread.daemon.intake;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.serving.CallerLimits;
import org.lacewingthread.core.serving.HeadTimer;
import org.lacewingthread.daemon.http.OutboundSockets;
import org.lacewingthread.daemon.reading.WatchedLoop;

/**
 * Accepts connections from callers. All methods except {@link #open} must be called on the traffic event loop.
 *
 * <pre>{@code
 * CallerListener listener = new CallerListener(requestHandler, clockMillis, account, 3_000);
 * listener.open(traffic, "10.1.0.35", 8144);
 * }</pre>
 */
public final class CallerListener {
    /** Pause in a request body from which its connection may be closed for another one, once there are too many. */
    private static final long MAX_PAUSE_IN_BODY_MILLIS = 1_000;

    private static final int ACCEPT_BACKLOG = 1_024;
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 1_000;
    /** How often waiting requests are looked at; short beside the time over which progress is measured. */
    private static final long ACCOUNT_INTERVAL_MILLIS = 100;

    /** Bounds the log lines about closed connections. */
    private static final long LIMIT_REPORT_INTERVAL_MILLIS = 1_000;

    private final CallerRequestHandler requestHandler;
    private final LongSupplier clockMillis;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private final MemoryAccount account;
    private final int maxConnections;
    private CallerLimits limits = CallerLimits.DEFAULT;
    private Channel serverChannel;
    private final AtomicLong closedForRoom = new AtomicLong();
    private final AtomicLong lateHeads = new AtomicLong();
    private final HeadTimer headTimer = new HeadTimer();
    private long nextLimitReportMillis = Long.MIN_VALUE;
    private boolean closingAfterNextResponse;
    private boolean draining;

    /** Creates a listener without bounds on memory and connections, for tests. */
    CallerListener(CallerRequestHandler requestHandler, LongSupplier clockMillis) {
        this(requestHandler, clockMillis, new MemoryAccount(Long.MAX_VALUE), Integer.MAX_VALUE);
    }

    /**
     * Creates a listener; {@link #open} binds its port.
     *
     * @param requestHandler receives requests and connection failures
     * @param clockMillis monotonic clock in milliseconds, for timeouts
     * @param account counts the memory of requests and responses
     * @param maxConnections connections at which another one ends the longest idle one, or itself if none is idle
     */
    public CallerListener(
            CallerRequestHandler requestHandler, LongSupplier clockMillis, MemoryAccount account, int maxConnections) {
        this.requestHandler = requestHandler;
        this.clockMillis = clockMillis;
        this.account = account;
        this.maxConnections = maxConnections;
    }

    /**
     * Binds the port and waits until it accepts connections.
     *
     * @param traffic event loop that runs all connections; it must use the same clock
     * @param host address to bind
     * @param port port to bind; 0 selects a free one
     * @return the listening channel
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Channel open(WatchedLoop traffic, String host, int port) throws InterruptedException {
        EventLoop eventLoop = traffic.eventLoop();
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoop)
                .channelFactory(traffic::newServerChannel)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, OutboundSockets.boundedReads())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        CallerConnection connection =
                                new CallerConnection(CallerListener.this, requestHandler, clockMillis);
                        channel.pipeline()
                                .addLast(connection.newDecoder(limits.maxHeaderBytes()))
                                .addLast(new HttpResponseEncoder())
                                .addLast(new ChunkedWriteHandler())
                                .addLast(connection);
                    }
                });
        serverChannel = bootstrap.bind(host, port).sync().channel();
        eventLoop.scheduleAtFixedRate(
                this::checkTimeouts,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        eventLoop.scheduleAtFixedRate(
                this::tick, ACCOUNT_INTERVAL_MILLIS, ACCOUNT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return serverChannel;
    }

    /** Sets the limits of a new configuration; the header size limit applies to new connections only. */
    public void setLimits(CallerLimits newLimits) {
        limits = newLimits;
    }

    /** Closes each connection when a response is written and no other response is pending on it. */
    public void closeAfterNextResponse() {
        closingAfterNextResponse = true;
    }

    /**
     * Closes all idle connections, and the others once their received requests are answered. The port stays open, since
     * closing it would reset connections that wait to be accepted; requests on these are refused.
     */
    public void drain() {
        draining = true;
        List.copyOf(connections).forEach(CallerConnection::drain);
    }

    /** Returns whether requests on new connections are refused. */
    boolean isDraining() {
        return draining;
    }

    /** Returns the number of connections with a request in progress. */
    public int busyConnectionCount() {
        return (int)
                connections.stream().filter(connection -> !connection.isIdle()).count();
    }

    /** Returns the number of open connections whose requests are not refused. */
    public int connectionCount() {
        return (int) connections.stream()
                .filter(connection -> !connection.isRefusing())
                .count();
    }

    CallerLimits limits() {
        return limits;
    }

    boolean isClosingAfterNextResponse() {
        return closingAfterNextResponse;
    }

    void onOpened(CallerConnection connection) {
        connections.add(connection);
        if (connections.size() > maxConnections) {
            long nowMillis = clockMillis.getAsLong();
            CallerConnection closed = connections.stream()
                    .filter(other -> other != connection && mayMakeRoom(other, nowMillis))
                    .min(Comparator.comparing(CallerConnection::isIdle)
                            .reversed()
                            .thenComparingLong(CallerConnection::lastActiveMillis))
                    .orElse(connection);
            // Its channel reports the end only after this turn, in which further connections may open.
            connections.remove(closed);
            closedForRoom.incrementAndGet();
            reportConnectionLimit(closed == connection);
            closed.close();
        }
    }

    /** Returns whether a connection is idle, or its caller stopped in the middle of a request, which has not run. */
    private static boolean mayMakeRoom(CallerConnection connection, long nowMillis) {
        boolean stalled =
                !connection.isAnswering() && nowMillis - connection.lastActiveMillis() > MAX_PAUSE_IN_BODY_MILLIS;
        return connection.isIdle() || stalled;
    }

    private void reportConnectionLimit(boolean newest) {
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis >= nextLimitReportMillis) {
            nextLimitReportMillis = nowMillis + LIMIT_REPORT_INTERVAL_MILLIS;
            requestHandler.onConnectionLimit(maxConnections, newest);
        }
    }

    HeadTimer headTimer() {
        return headTimer;
    }

    /** Returns how many requests were refused because of late heads; may be read by any thread. */
    public long lateHeads() {
        return lateHeads.get();
    }

    /** Returns what counts the memory of requests and responses. */
    public MemoryAccount account() {
        return account;
    }

    /** Returns how many connections were closed because there were too many; may be read by any thread. */
    public long closedForRoom() {
        return closedForRoom.get();
    }

    void onClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    /** Gives up requests that take too much time or memory; called every {@link #ACCOUNT_INTERVAL_MILLIS} ms. */
    void tick() {
        long nowMillis = clockMillis.getAsLong();
        headTimer.tick(nowMillis);
        account.tick(nowMillis);
        List.copyOf(connections).forEach(CallerConnection::checkCaller);
        limits.headerTimeoutMillis()
                .ifPresent(limitMillis -> lateHeads.addAndGet(List.copyOf(connections).stream()
                        .filter(connection -> connection.refuseLateHead(limitMillis, nowMillis))
                        .count()));
    }

    private void checkTimeouts() {
        long nowMillis = clockMillis.getAsLong();
        List.copyOf(connections).forEach(connection -> connection.checkTimeouts(nowMillis));
    }
}
