package org.lacewingthread.daemon.router;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.daemon.http.ConnectionPool;

/**
 * Finds out whether a server has ended, after a connection to it broke: nothing listens at its address then. A server
 * that only lost an answer or a connection accepts the next one, which is kept for later requests. Runs on the traffic
 * thread.
 */
final class ServerTester {
    private final ConnectionPool<ServerStart> connections;
    private final Map<ServerStart, List<Consumer<Boolean>>> pendingTests = new HashMap<>();

    ServerTester(ConnectionPool<ServerStart> connections) {
        this.connections = connections;
    }

    /**
     * Tests a server; tests of the same server at the same time share a connection.
     *
     * @param hasEnded receives whether the server refused the connection
     */
    void test(ServerEntry server, Consumer<Boolean> hasEnded) {
        List<Consumer<Boolean>> waiting = pendingTests.get(server.start());
        if (waiting != null) {
            waiting.add(hasEnded);
            return;
        }
        pendingTests.put(server.start(), new ArrayList<>(List.of(hasEnded)));
        connections.acquireNew(
                server.start(), new InetSocketAddress(server.host(), server.port()), (connection, failure) -> {
                    if (connection != null) {
                        connections.release(server.start(), connection);
                    }
                    boolean refused =
                            failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
                    pendingTests.remove(server.start()).forEach(receiver -> receiver.accept(refused));
                });
    }
}
