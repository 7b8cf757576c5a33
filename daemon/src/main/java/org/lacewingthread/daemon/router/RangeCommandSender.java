package org.lacewingthread.daemon.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.GrantOutcome;
import org.lacewingthread.core.keyrange.RangeCoordinator;
import org.lacewingthread.core.keyrange.ReleaseOutcome;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Sends the coordinator's grants and releases of key ranges to the servers and passes the outcomes back to it. All
 * methods run on the control thread.
 */
final class RangeCommandSender {
    private static final int MAX_REMEMBERED_ADDRESSES = 1_000;
    /**
     * Time after its decision in which a call is sent. The next leader assumes that the calls of this one arrive within
     * 1,200 ms after their decision, of which 400 ms are the time limit of a grant.
     */
    static final long MAX_SEND_DELAY_MILLIS = 600;

    private final Platform platform;
    private final RangeCoordinator coordinator;
    private final ControlClock clock;
    private final EventLog events;
    private final RangeCommandLog commandLog;
    private final Runnable onReleaseAnswered;
    private final CallListener callListener;
    private final Map<ServerStart, ServerEntry> lastKnownEntries = new HashMap<>();
    private final Set<ServerStart> unresponsiveServers = new HashSet<>();

    /** Receives whether servers answer grants and releases. */
    interface CallListener {
        /**
         * Called when a call has ended.
         *
         * @param elapsedMillis time since it was decided
         */
        void onCallEnded(ServerStart server, boolean answered, long elapsedMillis);
    }

    RangeCommandSender(
            Platform platform,
            RangeCoordinator coordinator,
            ControlClock clock,
            EventLog events,
            RangeCommandLog commandLog,
            Runnable onReleaseAnswered,
            CallListener callListener) {
        this.platform = platform;
        this.coordinator = coordinator;
        this.clock = clock;
        this.events = events;
        this.commandLog = commandLog;
        this.onReleaseAnswered = onReleaseAnswered;
        this.callListener = callListener;
    }

    /**
     * Remembers a server's address. It is kept after the server's entry is gone, because the server may still have to
     * release its keys.
     *
     * @param registered servers whose addresses are kept when there are too many
     */
    void rememberAddress(ServerEntry entry, List<KnownServer> registered) {
        if (lastKnownEntries.size() >= MAX_REMEMBERED_ADDRESSES) {
            lastKnownEntries
                    .keySet()
                    .retainAll(registered.stream().map(KnownServer::start).collect(Collectors.toSet()));
        }
        lastKnownEntries.put(entry.start(), entry);
    }

    /**
     * Sends a grant.
     *
     * @param decidedMillis when the coordinator decided it, by the control clock
     */
    void grant(CoordinatorAction.Grant grant, long decidedMillis) {
        Optional<ServerEntry> server = findServer(grant.server(), decidedMillis);
        if (server.isEmpty()) {
            onGrantEnded(grant, decidedMillis, new Platform.GrantResult(GrantOutcome.UNKNOWN, OptionalLong.empty()));
            return;
        }
        platform.grant(server.get(), grant, result -> {
            onGrantEnded(grant, decidedMillis, result);
            trackResponsiveness(grant.server(), result.outcome().isAnswer(), decidedMillis);
        });
    }

    /** Returns the server's entry; empty if its address is not known or if a call was decided too long ago. */
    private Optional<ServerEntry> findServer(ServerStart server, long decidedMillis) {
        return clock.nowMillis() - decidedMillis > MAX_SEND_DELAY_MILLIS
                ? Optional.empty()
                : Optional.ofNullable(lastKnownEntries.get(server));
    }

    private void onGrantEnded(CoordinatorAction.Grant grant, long decidedMillis, Platform.GrantResult result) {
        long endedMillis = clock.nowMillis();
        boolean awaited = coordinator.awaitsAnswer(grant.call());
        boolean neverSent =
                !result.outcome().isAnswer() && result.sentAtMillis().isEmpty();
        GrantOutcome outcome = neverSent ? GrantOutcome.NOT_SENT : result.outcome();
        coordinator.onGrantAnswer(grant.call(), outcome, endedMillis);
        commandLog.onGrantEnded(
                grant,
                outcome,
                new RangeCommandLog.CallTimes(decidedMillis, result.sentAtMillis(), endedMillis),
                awaited);
    }

    /**
     * Sends a release.
     *
     * @param decidedMillis when the coordinator decided it, by the control clock
     */
    void release(CoordinatorAction.Release release, long decidedMillis) {
        Optional<ServerEntry> server = findServer(release.server(), decidedMillis);
        if (server.isEmpty()) {
            onReleaseEnded(
                    release,
                    decidedMillis,
                    new Platform.ReleaseResult(ReleaseOutcome.UNKNOWN, Optional.empty(), OptionalLong.empty()));
            return;
        }
        platform.release(server.get(), release, result -> {
            onReleaseEnded(release, decidedMillis, result);
            trackResponsiveness(release.server(), result.outcome() != ReleaseOutcome.UNKNOWN, decidedMillis);
            if (result.outcome() == ReleaseOutcome.RELEASED) {
                events.write(
                        "range.released",
                        "server",
                        release.server(),
                        "range",
                        release.range(),
                        "fence",
                        release.fence(),
                        "handover",
                        result.handover().isPresent());
            }
            onReleaseAnswered.run();
        });
    }

    private void onReleaseEnded(CoordinatorAction.Release release, long decidedMillis, Platform.ReleaseResult result) {
        long endedMillis = clock.nowMillis();
        boolean awaited = coordinator.awaitsAnswer(release.call());
        coordinator.onReleaseAnswer(release.call(), result.outcome(), result.handover(), endedMillis);
        commandLog.onReleaseEnded(
                release,
                result.outcome(),
                new RangeCommandLog.CallTimes(decidedMillis, result.sentAtMillis(), endedMillis),
                awaited);
    }

    private void trackResponsiveness(ServerStart server, boolean answered, long decidedMillis) {
        callListener.onCallEnded(server, answered, clock.nowMillis() - decidedMillis);
        if (answered && unresponsiveServers.remove(server)) {
            events.write("server.orders-answered", "server", server);
        } else if (!answered && unresponsiveServers.add(server)) {
            events.write("server.orders-unanswered", "server", server);
        }
    }
}
