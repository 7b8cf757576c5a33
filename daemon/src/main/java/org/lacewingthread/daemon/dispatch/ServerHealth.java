package org.lacewingthread.daemon.dispatch;

import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.traffic.ServerWatch;
import org.lacewingthread.daemon.backend.HealthProber;

/** Carries out what {@link ServerWatch} decides, and reports changes; confined to one I/O thread. */
final class ServerHealth {
    private final ServerId server;
    private final HealthProber probe;
    private final DispatchListener listener;
    private final LongSupplier clockMillis;
    private final LongConsumer onProbeAnswered;
    private final Runnable onUnreachable;
    private final ServerWatch watch;
    private ServerCondition reported = ServerCondition.REACHABLE;

    /**
     * Creates the health of a server that is taken for reachable.
     *
     * @param onProbeAnswered takes when an answered probe was sent
     * @param onUnreachable run when the server becomes unreachable
     */
    ServerHealth(
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
        this.watch = new ServerWatch(ServerWatch.Settings.DEFAULT, clockMillis.getAsLong());
    }

    boolean isAnswering() {
        return watch.condition().isAnswering();
    }

    void onHeard() {
        watch.onHeard(clockMillis.getAsLong());
        report();
    }

    void onUnanswered() {
        watch.onUnanswered();
        report();
    }

    void onConnectFailed() {
        watch.onConnectFailed(clockMillis.getAsLong());
        report();
    }

    /** Probes the server if that is due. */
    void tick(long oldestSentMillis) {
        long nowMillis = clockMillis.getAsLong();
        if (watch.shouldProbe(oldestSentMillis, nowMillis)) {
            probe.sendProbe(watch.probeTimeoutMillis(), stated -> onProbe(stated, nowMillis));
        }
    }

    private void onProbe(Optional<ServerCondition> stated, long startedMillis) {
        if (stated.isEmpty()) {
            watch.onProbeFailed(clockMillis.getAsLong());
            report();
            return;
        }
        watch.onProbeAnswered(stated.get(), clockMillis.getAsLong());
        report();
        onProbeAnswered.accept(startedMillis);
    }

    private void report() {
        ServerCondition condition = watch.condition();
        if (condition == reported) {
            return;
        }
        reported = condition;
        listener.serverObserved(server, condition);
        if (!condition.isAnswering()) {
            onUnreachable.run();
        }
    }
}
