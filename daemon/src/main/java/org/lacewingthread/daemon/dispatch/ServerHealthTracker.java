package org.lacewingthread.daemon.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.traffic.ServerHealthMonitor;
import org.lacewingthread.daemon.backend.HealthProber;

/**
 * Tracks the condition of one server: feeds observations of requests to a {@link ServerHealthMonitor}, sends the
 * health probes that it asks for, and reports changes to the listener. Confined to one I/O thread.
 */
final class ServerHealthTracker {
    private static final System.Logger LOG = System.getLogger(ServerHealthTracker.class.getName());

    private final ServerId server;
    private final HealthProber probe;
    private final DispatchListener listener;
    private final LongSupplier clockMillis;
    private final LongConsumer onProbeAnswered;
    private final Runnable onUnreachable;
    private final ServerHealthMonitor monitor;
    private final Set<String> loggedFalsePromises = new HashSet<>();
    private ServerCondition reportedCondition = ServerCondition.REACHABLE;

    /**
     * Creates a tracker; the server counts as reachable until observed otherwise.
     *
     * @param onProbeAnswered receives the send time of a probe once it was answered
     * @param onUnreachable run when the server becomes unreachable
     */
    ServerHealthTracker(
            ServerId server,
            HealthProber probe,
            DispatchListener listener,
            LongSupplier clockMillis,
            LongConsumer onProbeAnswered,
            Runnable onUnreachable) {
        this.server = server;
        this.probe = probe;
        this.listener = listener;
        this.clockMillis = clockMillis;
        this.onProbeAnswered = onProbeAnswered;
        this.onUnreachable = onUnreachable;
        this.monitor = new ServerHealthMonitor(ServerHealthMonitor.Settings.DEFAULT, clockMillis.getAsLong());
    }

    boolean isResponding() {
        return monitor.condition().isAnswering();
    }

    void onResponseStarted() {
        monitor.onResponseReceived(clockMillis.getAsLong());
        reportChange();
    }

    void onNoResponse() {
        monitor.onUnanswered();
        reportChange();
    }

    void onConnectFailed() {
        monitor.onConnectFailed(clockMillis.getAsLong());
        reportChange();
    }

    /**
     * Logs, once for each status, that responses of the server are replaced because they promise that it did not run the
     * request, but do not state so in the header.
     *
     * @param detail the status, in words
     */
    void onFalsePromise(String detail) {
        if (loggedFalsePromises.add(detail)) {
            LOG.log(System.Logger.Level.WARNING, "server \"{0}\" {1}; its response is replaced", server, detail);
        }
    }

    /** Probes the server if a probe is due. */
    void tick(long oldestSentMillis) {
        long nowMillis = clockMillis.getAsLong();
        if (monitor.shouldProbe(oldestSentMillis, nowMillis)) {
            probe.sendProbe(monitor.probeTimeoutMillis(), probed -> onProbeResult(probed, nowMillis));
        }
    }

    private void onProbeResult(Optional<ServerCondition> probed, long startedMillis) {
        if (probed.isEmpty()) {
            monitor.onProbeFailed(clockMillis.getAsLong());
            reportChange();
            return;
        }
        monitor.onProbeAnswered(probed.get(), clockMillis.getAsLong());
        reportChange();
        onProbeAnswered.accept(startedMillis);
    }

    private void reportChange() {
        ServerCondition condition = monitor.condition();
        if (condition == reportedCondition) {
            return;
        }
        reportedCondition = condition;
        listener.onServerConditionChanged(server, condition);
        if (!condition.isAnswering()) {
            onUnreachable.run();
        }
    }
}
