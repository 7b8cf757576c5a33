package org.lacewingthread.core.traffic;

import org.lacewingthread.core.control.ServerCondition;

/**
 * Derives the condition of one backend server from the requests that its dispatcher sends to it. A
 * request that stays unanswered triggers a probe on a new connection, so that a single silent
 * connection does not make the server count as lost. The condition that the server states is trusted
 * if it is cold or leaving, but not if it claims to be healthy while requests stay unanswered.
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
     * Settings of a monitor.
     *
     * @param suspectMillis time without a response after which a probe is sent
     * @param probeTimeoutMillis timeout of a probe
     * @param failedProbes consecutive failed probes after which a server is unreachable
     * @param unreachableProbeMillis interval between probes of an unreachable server
     * @param routineProbeMillis interval between probes of a server that answers
     * @param requestsUnanswered consecutive unanswered requests after which a server is unreachable
     *     even if it answers probes
     */
    public record Settings(
            long suspectMillis,
            long probeTimeoutMillis,
            int failedProbes,
            long unreachableProbeMillis,
            long routineProbeMillis,
            int requestsUnanswered) {
        /** Default settings: a frozen server is detected 250 + 2 * 250 ms after its first unanswered request. */
        public static final Settings DEFAULT = new Settings(250, 250, 2, 500, 5_000, 8);
    }

    /** Creates a monitor that assumes the server to be reachable. */
    public ServerHealthMonitor(Settings settings, long nowMillis) {
        this.settings = settings;
        this.lastResponseMillis = nowMillis;
        this.nextProbeMillis = nowMillis + settings.routineProbeMillis();
    }

    /** Returns the current condition of the server. */
    public ServerCondition condition() {
        return condition;
    }

    /** Returns the timeout of a probe, in milliseconds. */
    public long probeTimeoutMillis() {
        return settings.probeTimeoutMillis();
    }

    /** Records that part of a response to a request arrived. */
    public void onResponseReceived(long nowMillis) {
        lastResponseMillis = nowMillis;
        failedProbes = 0;
        requestsUnanswered = 0;
        if (condition == ServerCondition.UNREACHABLE) {
            condition = ServerCondition.REACHABLE;
        }
    }

    /** Records that a request was abandoned without any response. */
    public void onUnanswered() {
        requestsUnanswered++;
        if (requestsUnanswered >= settings.requestsUnanswered()) {
            condition = ServerCondition.UNREACHABLE;
        }
    }

    /** Records that a new connection for a request could not be opened; counts as a failed probe. */
    public void onConnectFailed(long nowMillis) {
        countFailure(nowMillis);
    }

    /**
     * Returns whether to send a probe on a new connection now; if true, the probe counts as sent.
     *
     * @param oldestSentMillis send time of the oldest unanswered request, or {@link Long#MAX_VALUE}
     * @param nowMillis current monotonic time
     */
    public boolean shouldProbe(long oldestSentMillis, long nowMillis) {
        if (probing) {
            return false;
        }
        boolean suspected = oldestSentMillis != Long.MAX_VALUE
                && nowMillis - Math.max(oldestSentMillis, Math.max(lastResponseMillis, lastProbeMillis))
                        >= settings.suspectMillis();
        boolean unconfirmed = failedProbes > 0 && condition.isAnswering();
        if (!suspected && !unconfirmed && nowMillis < nextProbeMillis) {
            return false;
        }
        probing = true;
        lastProbeMillis = nowMillis;
        return true;
    }

    /**
     * Records the response to a probe.
     *
     * @param stated condition that the server reported
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

    /** Records that a probe timed out; ignored if a response arrived during the probe. */
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
