package org.lacewingthread.core.traffic;

import org.lacewingthread.core.control.ServerCondition;

/**
 * Judges one backend server from the requests that its dispatcher sends to it. A request that stays
 * unanswered raises a suspicion; a probe on a new connection settles it, so that one silent
 * connection is not taken for a lost server. What the server says about itself is a hint: it is
 * believed when it says that it is cold or leaving, not when it says that it is well while requests
 * stay unanswered.
 *
 * <p>Not safe for use by several threads.
 */
public final class ServerHealthMonitor {
    private final Settings settings;
    private ServerCondition condition = ServerCondition.REACHABLE;
    private long lastResponseMillis;
    private long lastProbeMillis;
    private long nextProbeMillis;
    private boolean probing;
    private int failedProbes;
    private int requestsUnanswered;

    /**
     * Settings of a watch.
     *
     * @param suspectMillis how long a request is unanswered before a probe
     * @param probeTimeoutMillis how long a probe is waited for
     * @param failedProbes failed probes in a row that make a server unreachable
     * @param unreachableProbeMillis time between probes of an unreachable server
     * @param routineProbeMillis time between probes of a server that answers
     * @param requestsUnanswered requests in a row whose answers never came that make a server
     *     unreachable whatever its probes say
     */
    public record Settings(
            long suspectMillis,
            long probeTimeoutMillis,
            int failedProbes,
            long unreachableProbeMillis,
            long routineProbeMillis,
            int requestsUnanswered) {
        /** Defaults: a frozen server is noticed 250 + 2 * 250 ms after its first unanswered request. */
        public static final Settings DEFAULT = new Settings(250, 250, 2, 500, 5_000, 8);
    }

    /** Creates a watch that takes the server for reachable. */
    public ServerHealthMonitor(Settings settings, long nowMillis) {
        this.settings = settings;
        this.lastResponseMillis = nowMillis;
        this.nextProbeMillis = nowMillis + settings.routineProbeMillis();
    }

    /** Returns what is known of the server. */
    public ServerCondition condition() {
        return condition;
    }

    /** Returns how long a probe is waited for. */
    public long probeTimeoutMillis() {
        return settings.probeTimeoutMillis();
    }

    /** Takes in that part of an answer to a request came. */
    public void onResponseReceived(long nowMillis) {
        lastResponseMillis = nowMillis;
        failedProbes = 0;
        requestsUnanswered = 0;
        if (condition == ServerCondition.UNREACHABLE) {
            condition = ServerCondition.REACHABLE;
        }
    }

    /** Takes in that a request was given up on without any answer. */
    public void onUnanswered() {
        requestsUnanswered++;
        if (requestsUnanswered >= settings.requestsUnanswered()) {
            condition = ServerCondition.UNREACHABLE;
        }
    }

    /** Takes in that a new connection for a request could not be opened. */
    public void onConnectFailed(long nowMillis) {
        countFailure(nowMillis);
    }

    /**
     * Returns whether to send a probe on a new connection now; it then counts as sent.
     *
     * @param oldestSentMillis when the oldest unanswered request was sent, or {@link Long#MAX_VALUE}
     * @param nowMillis monotonic time
     */
    public boolean shouldProbe(long oldestSentMillis, long nowMillis) {
        if (probing) {
            return false;
        }
        boolean suspected = oldestSentMillis != Long.MAX_VALUE
                && nowMillis - Math.max(oldestSentMillis, Math.max(lastResponseMillis, lastProbeMillis))
                        >= settings.suspectMillis();
        boolean undecided = failedProbes > 0 && condition.isAnswering();
        if (!suspected && !undecided && nowMillis < nextProbeMillis) {
            return false;
        }
        probing = true;
        lastProbeMillis = nowMillis;
        return true;
    }

    /**
     * Takes in a probe's answer.
     *
     * @param stated condition that the server stated
     */
    public void onProbeAnswered(ServerCondition stated, long nowMillis) {
        probing = false;
        lastProbeMillis = nowMillis;
        failedProbes = 0;
        nextProbeMillis = nowMillis + settings.routineProbeMillis();
        if (requestsUnanswered >= settings.requestsUnanswered()) {
            requestsUnanswered = settings.requestsUnanswered() - 1;
        }
        condition = stated;
    }

    /** Takes in that a probe was not answered in time. */
    public void onProbeFailed(long nowMillis) {
        probing = false;
        lastProbeMillis = nowMillis;
        if (lastResponseMillis < nowMillis - settings.probeTimeoutMillis()) {
            countFailure(nowMillis);
        }
    }

    private void countFailure(long nowMillis) {
        failedProbes++;
        if (failedProbes >= settings.failedProbes()) {
            condition = ServerCondition.UNREACHABLE;
            nextProbeMillis = nowMillis + settings.unreachableProbeMillis();
        }
    }
}
