package org.lacewingthread.daemon.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.GrantOutcome;
import org.lacewingthread.core.keyrange.RangeCoordinator;
import org.lacewingthread.core.keyrange.ReleaseOutcome;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Sends the coordinator's grants and releases of key ranges to the servers and passes the outcomes back to it. All
 * methods run on the control thread.
 */
final class RangeCommandSender {
    private static final int MAX_REMEMBERED_ADDRESSES = 1_000;

    private final Platform platform;
    private final RangeCoordinator coordinator;
    private final ControlClock clock;
    private final EventLog events;
    private final Runnable onReleaseAnswered;
    private final Map<ServerStart, ServerEntry> lastKnownEntries = new HashMap<>();
    private final Set<ServerStart> unresponsiveServers = new HashSet<>();

    RangeCommandSender(
            Platform platform,
            RangeCoordinator coordinator,
            ControlClock clock,
            EventLog events,
            Runnable onReleaseAnswered) {
        this.platform = platform;
        this.coordinator = coordinator;
        this.clock = clock;
        this.events = events;
        this.onReleaseAnswered = onReleaseAnswered;
    }

    /**
     * Remembers a server's address. It is kept after the server's entry is gone, because the server may still have to
     * release its keys.
     *
     * @param registered servers whose addresses are kept when there are too many
     */
    void rememberAddress(ServerEntry entry, Set<ServerStart> registered) {
        if (lastKnownEntries.size() >= MAX_REMEMBERED_ADDRESSES) {
            lastKnownEntries.keySet().retainAll(registered);
        }
        lastKnownEntries.put(entry.start(), entry);
    }

    void grant(CoordinatorAction.Grant grant) {
        Optional<ServerEntry> server = Optional.ofNullable(lastKnownEntries.get(grant.server()));
        if (server.isEmpty()) {
            coordinator.onGrantAnswer(grant.call(), GrantOutcome.UNKNOWN, clock.nowMillis());
            return;
        }
        platform.grant(server.get(), grant, outcome -> {
            coordinator.onGrantAnswer(grant.call(), outcome, clock.nowMillis());
            trackResponsiveness(grant.server(), outcome != GrantOutcome.UNKNOWN);
        });
    }

    void release(CoordinatorAction.Release release) {
        Optional<ServerEntry> server = Optional.ofNullable(lastKnownEntries.get(release.server()));
        if (server.isEmpty()) {
            coordinator.onReleaseAnswer(release.call(), ReleaseOutcome.UNKNOWN, Optional.empty(), clock.nowMillis());
            return;
        }
        platform.release(server.get(), release, (outcome, handover) -> {
            coordinator.onReleaseAnswer(release.call(), outcome, handover, clock.nowMillis());
            trackResponsiveness(release.server(), outcome != ReleaseOutcome.UNKNOWN);
            if (outcome == ReleaseOutcome.RELEASED) {
                events.write(
                        "range.released",
                        "server",
                        release.server(),
                        "range",
                        release.range(),
                        "fence",
                        release.fence(),
                        "handover",
                        handover.isPresent());
            }
            onReleaseAnswered.run();
        });
    }

    private void trackResponsiveness(ServerStart server, boolean answered) {
        if (answered && unresponsiveServers.remove(server)) {
            events.write("server.orders-answered", "server", server);
        } else if (!answered && unresponsiveServers.add(server)) {
            events.write("server.orders-unanswered", "server", server);
        }
    }
}
