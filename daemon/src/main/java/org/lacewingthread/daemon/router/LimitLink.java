package org.lacewingthread.daemon.router;

import org.lacewingthread.core.dispatch.PermitRequest;
import org.lacewingthread.core.id.ServerStart;

/** The control thread, which passes on what servers show, and asks the leader for permits for limited servers. */
interface LimitLink {
    /** Asks for a permit; {@link RequestEngine#onPermit} is called with the answer. */
    void askPermit(PermitRequest request);

    /** Called when a server no longer names a limit. */
    void onLimitEnded(ServerStart server);

    /** Called when a server's response said that it leaves. */
    void onServerLeaving(ServerStart server);

    /**
     * Called when a server may be cold although its entry doesn't say so.
     *
     * @param reason what shows that, for the log
     */
    default void onSuspectedCold(ServerStart server, String reason) {}
}
