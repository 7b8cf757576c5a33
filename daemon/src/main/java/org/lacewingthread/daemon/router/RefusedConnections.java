package org.lacewingthread.daemon.router;

import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.daemon.http.ConnectionPool;

/**
 * Tells the control thread of servers at whose address nothing listens, since they may come back cold under the same id.
 * While this VM reaches no server, its own links are the cause, and servers are not suspected. Runs on the traffic thread.
 */
final class RefusedConnections implements ConnectionPool.OpenListener<ServerStart> {
    private final ServerLinkMonitor links;
    private final LimitLink limitLink;

    RefusedConnections(ServerLinkMonitor links, LimitLink limitLink) {
        this.links = links;
        this.limitLink = limitLink;
    }

    @Override
    public void onOpened(ServerStart server) {
        links.onOpened(server);
    }

    @Override
    public void onOpenFailed(ServerStart server, long startedMillis) {
        links.onOpenFailed(server, startedMillis);
    }

    @Override
    public void onRefused(ServerStart server) {
        if (!links.isCutOff()) {
            limitLink.onSuspectedCold(server, "connection refused");
        }
    }
}
