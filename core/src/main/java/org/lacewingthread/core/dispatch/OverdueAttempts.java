package org.lacewingthread.core.dispatch;

import java.util.Map;
import org.lacewingthread.core.id.ServerStart;

/**
 * Tells when the answer to an attempt is overdue. Servers of some services never answer a request that they can't queue,
 * so an answer that takes longer than a full queue most likely won't come.
 *
 * <pre>{@code
 * if (dispatcher.overdueAttempts().isOverdue(send, elapsedMillis)) { ... }
 * }</pre>
 *
 * <p>Answers are never overdue at a service whose servers say that they are full, or at a server of which few
 * answers are known.
 */
public final class OverdueAttempts {
    /** Shortest time after which an answer is overdue; pauses of a server's or this VM's process are shorter. */
    private static final double MIN_OVERDUE_MILLIS = 400;
    /** Multiple of the expected time after which an answer is overdue; servers slow down to a third for a while. */
    private static final double MAX_EXPECTED_RATIO = 3;
    /** Service times that a request takes at the end of a full queue; queues hold four requests for each slot. */
    private static final double FULL_QUEUE_SERVICE_TIMES = 5;
    /** Answers after which the service time of a server is known well enough. */
    private static final int MIN_ANSWERS = 5;
    /** Growth of the time for each overdue attempt since the last answer, so that slow answers are seen again. */
    private static final double GROWTH = 1.5;
    /** Most overdue attempts that lengthen the time. */
    private static final int MAX_GROWTH_STEPS = 6;

    private final Map<ServerStart, ServerLoadState> servers;
    private final SilentOwners silentOwners;

    OverdueAttempts(Map<ServerStart, ServerLoadState> servers, SilentOwners silentOwners) {
        this.servers = servers;
        this.silentOwners = silentOwners;
    }

    /**
     * Returns whether the answer to an attempt is overdue.
     *
     * @param elapsedMillis time since the request was sent, in milliseconds
     */
    public boolean isOverdue(Decision.Send send, double elapsedMillis) {
        ServerLoadState state = servers.get(send.server().start());
        return state != null
                && !silentOwners.rejects(send.request().service())
                && state.answers() >= MIN_ANSWERS
                && elapsedMillis >= overdueAfterMillis(state, send.expectedMillis());
    }

    /**
     * Backs off from the server of an overdue attempt whose request is sent to another server as well. The attempt takes no
     * slot from now on, since the server most likely dropped the request.
     */
    public void onRepeated(Decision.Send send, long nowMillis) {
        ServerLoadState state = servers.get(send.server().start());
        if (state != null) {
            state.onSilent(nowMillis);
            silentOwners.onLost(send, state);
        }
    }

    /**
     * Backs off from the server of an overdue attempt that is still awaited, since the request must not be repeated or
     * can't be.
     *
     * @return whether requests for keys of the service are paced from now on, since its owners drop requests silently
     */
    public boolean onAwaited(Decision.Send send, long nowMillis) {
        ServerLoadState state = servers.get(send.server().start());
        if (state == null) {
            return false;
        }
        state.onSilent(nowMillis);
        return silentOwners.onAwaited(send, state);
    }

    private static double overdueAfterMillis(ServerLoadState state, long expectedMillis) {
        double fullQueueMillis = state.serviceMillis() * FULL_QUEUE_SERVICE_TIMES;
        double usualMillis = Math.min(
                fullQueueMillis, Math.max((double) expectedMillis, state.serviceMillis()) * MAX_EXPECTED_RATIO);
        double growth = Math.pow(GROWTH, Math.min(MAX_GROWTH_STEPS, state.silentSinceAnswer()));
        return Math.max(MIN_OVERDUE_MILLIS, usualMillis) * growth;
    }
}
