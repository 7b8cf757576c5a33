package org.lacewingthread.daemon.router;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.reachability.ServerReachability;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.ConnectionPool;

/**
 * Watches whether this VM reaches any backend server. While calls are made and no server answers, it opens connections to
 * some servers, so that a cut and its end are noticed without waiting for callers' requests to fail. All methods run on
 * the traffic thread.
 */
final class ServerLinkMonitor implements ConnectionPool.OpenListener<ServerStart> {
    /** Time without any answer, while calls are made, from which connections are opened as a test. */
    private static final long MAX_SILENCE_MILLIS = 400;
    /** Interval of these tests. */
    private static final long TEST_INTERVAL_MILLIS = 100;
    /** Interval of tests while this VM is cut off; a healed link is found within about this time. */
    private static final long CUT_OFF_TEST_INTERVAL_MILLIS = 300;

    private final EventLog events;
    private final LongSupplier clockMillis;
    private final RandomGenerator random;
    private final Consumer<Boolean> cutOffListener;
    private final ServerReachability reachability = new ServerReachability();
    private ConnectionPool<ServerStart> connections;
    private List<KnownServer> servers = List.of();
    private long nextTestMillis;
    private long unansweredSinceMillis = Long.MAX_VALUE;
    private boolean cutOff;

    /**
     * Creates a monitor that knows no servers.
     *
     * @param random source of the servers that are tested, so that entry VMs don't all test the same one
     * @param cutOffListener called with whether this VM is cut off from all servers, when that changes
     */
    ServerLinkMonitor(
            EventLog events, LongSupplier clockMillis, RandomGenerator random, Consumer<Boolean> cutOffListener) {
        this.events = events;
        this.clockMillis = clockMillis;
        this.random = random;
        this.cutOffListener = cutOffListener;
    }

    /** Sets the pool in which tested connections are kept. */
    void setConnections(ConnectionPool<ServerStart> pool) {
        connections = pool;
    }

    void onServers(List<KnownServer> known) {
        servers = List.copyOf(known);
        reachability.onKnownServers(known.stream().map(KnownServer::start).collect(Collectors.toSet()));
    }

    /** Returns whether no server can be reached. */
    boolean isCutOff() {
        return cutOff;
    }

    /** Returns what is known of this VM's links. */
    Reach reach() {
        long nowMillis = clockMillis.getAsLong();
        return new Reach(
                cutOff,
                reachability.answeredCount(nowMillis),
                reachability.silentCount(nowMillis),
                nowMillis - reachability.lastAnswerMillis());
    }

    /** Tests a connection soon if no server has answered of late, for example because this VM makes no calls. */
    void testIfUnknown() {
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis - reachability.lastAnswerMillis() > MAX_SILENCE_MILLIS) {
            unansweredSinceMillis = Math.min(unansweredSinceMillis, nowMillis - MAX_SILENCE_MILLIS - 1);
        }
    }

    /** Records that a request is sent to a server. */
    void onSent() {
        unansweredSinceMillis = Math.min(unansweredSinceMillis, clockMillis.getAsLong());
    }

    /** Records any answer of a server. */
    void onAnswer(ServerStart server) {
        unansweredSinceMillis = Long.MAX_VALUE;
        reachability.onAnswer(server, clockMillis.getAsLong());
        update();
    }

    /**
     * Records that a server did not answer a call in time, or refused the connection.
     *
     * @param startedMillis when the call was started, by the traffic clock
     */
    void onNoAnswer(ServerStart server, long startedMillis) {
        unansweredSinceMillis = Math.min(unansweredSinceMillis, startedMillis);
        reachability.onNoAnswer(server, startedMillis, clockMillis.getAsLong());
        update();
    }

    @Override
    public void onOpened(ServerStart server) {
        onAnswer(server);
    }

    @Override
    public void onOpenFailed(ServerStart server, long startedMillis) {
        onNoAnswer(server, startedMillis);
    }

    /** Tests connections if that is due. */
    void tick() {
        update();
        long nowMillis = clockMillis.getAsLong();
        boolean silent =
                nowMillis - Math.max(unansweredSinceMillis, reachability.lastAnswerMillis()) > MAX_SILENCE_MILLIS;
        if ((cutOff || silent) && nowMillis >= nextTestMillis && !servers.isEmpty()) {
            nextTestMillis = nowMillis + (cutOff ? CUT_OFF_TEST_INTERVAL_MILLIS : TEST_INTERVAL_MILLIS);
            KnownServer tested = servers.get(random.nextInt(servers.size()));
            connections.openIdle(
                    tested.start(),
                    new InetSocketAddress(tested.entry().host(), tested.entry().port()));
        }
    }

    private void update() {
        long nowMillis = clockMillis.getAsLong();
        boolean nowCutOff = reachability.isCutOff(nowMillis);
        if (nowCutOff == cutOff) {
            return;
        }
        cutOff = nowCutOff;
        events.write(
                cutOff ? "servers.unreachable" : "servers.reachable",
                "known",
                servers.size(),
                "failed",
                reachability.failedCount(),
                "last_answer_ago_ms",
                nowMillis - reachability.lastAnswerMillis());
        cutOffListener.accept(cutOff);
    }
}
