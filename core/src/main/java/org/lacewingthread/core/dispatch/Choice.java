package org.lacewingthread.core.dispatch;

import java.util.Optional;

/** What {@link DispatchRules} say about a request; nothing has been used up or counted for it yet. */
sealed interface Choice {
    /**
     * A server has room for the request. It is sent if the server's limits permit it.
     *
     * @param server the server
     * @param expectedMillis expected time until the response
     */
    record Ready(ServerLoadState server, double expectedMillis) implements Choice {}

    /**
     * The request waits.
     *
     * @param server server that has no room; empty if the request waits for something else
     * @param cause cause of the refusal if the wait doesn't end in time
     */
    record Wait(Optional<ServerLoadState> server, RefusalCause cause) implements Choice {}

    /** The request is refused. */
    record Refuse(Decision.Refuse refusal) implements Choice {}
}
