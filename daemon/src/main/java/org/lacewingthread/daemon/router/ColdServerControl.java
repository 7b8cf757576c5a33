package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.lacewingthread.core.dispatch.ColdRates;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.registry.ServerRegistry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.ServiceSpec;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.daemon.events.EventLog;

/**
 * What the control thread knows of cold servers: their rates, for the balance of keys, and servers that may be
 * cold before their entry says so, since they refused a connection or said so in a response. The entry VM that notices it
 * tells the others by way of the leader, or itself while no leader answers. Runs on the control thread unless stated otherwise.
 */
final class ColdServerControl {
    private static final String SUSPECTED = "coldSuspected";
    /** Set in messages that the leader has to pass on to the other entry VMs. */
    private static final String PASS_ON = "passOn";

    private static final String STARTED = "serverStart";
    /** Entry intervals after which a server that came back has written an entry that can be read. */
    private static final int SUSPECTED_ENTRY_INTERVALS = 2;
    /** Most servers told of in a second; when a data centre is lost, its servers are refused to each VM anyway. */
    private static final int MAX_TOLD_PER_SECOND = 20;

    private static final long MILLIS_PER_SECOND = 1_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ColdServerSettings settings;
    private final EventLoop eventLoop;
    private final ServerRegistry registry;
    private final LongSupplier clockMillis;
    private final EventLog events;
    private final RouterMetrics metrics;
    private final CrashRecordExchange.Broadcaster broadcaster;
    private long toldSinceMillis = Long.MIN_VALUE / 2;
    private int told;
    private ColdRates rates = ColdRates.NONE;

    ColdServerControl(
            ColdServerSettings settings,
            EventLoop eventLoop,
            ServerRegistry registry,
            LongSupplier clockMillis,
            EventLog events,
            RouterMetrics metrics,
            CrashRecordExchange.Broadcaster broadcaster) {
        this.settings = settings;
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.clockMillis = clockMillis;
        this.events = events;
        this.metrics = metrics;
        this.broadcaster = broadcaster;
    }

    void onConfiguration(ServingConfiguration newest) {
        rates = settings.rates(newest);
        for (ServiceSpec service : ColdRates.unusable(newest.services().values())) {
            metrics.onUnusableColdRate();
            events.write(
                    "cold.rate-unusable",
                    "service",
                    service.id(),
                    "cold_per_s",
                    Double.toString(service.coldPerSecond().getAsDouble()),
                    "version",
                    newest.version());
        }
    }

    /** Returns limits for the balance of keys with those of the cold servers added. */
    Map<ServerStart, Double> addTo(Map<ServerStart, Double> limitPerSecondByServer, List<KnownServer> servers) {
        return rates.addTo(limitPerSecondByServer, servers);
    }

    /**
     * Records that a server may be cold, and tells the other entry VMs; may be called on any thread.
     *
     * @param reason what shows that
     */
    void onSuspected(ServerStart server, String reason) {
        eventLoop.execute(() -> {
            if (!suspect(server, reason) || !mayTell()) {
                return;
            }
            if (broadcaster.isLeading() || !broadcaster.isLeaderAnswering()) {
                broadcaster.sendToAll(message(server, false));
            } else {
                broadcaster.sendToLeader(message(server, true));
            }
        });
    }

    private boolean mayTell() {
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis - toldSinceMillis >= MILLIS_PER_SECOND) {
            toldSinceMillis = nowMillis;
            told = 0;
        }
        return ++told <= MAX_TOLD_PER_SECOND;
    }

    /**
     * Handles a datagram if it is about a server that may be cold; returns whether it is.
     *
     * @throws IllegalArgumentException if the server's id is not valid
     */
    boolean onMessage(JsonNode message) {
        if (!message.has(SUSPECTED)) {
            return false;
        }
        ServerStart server = new ServerStart(
                new ServerId(message.path(SUSPECTED).asText()),
                message.path(STARTED).asLong());
        if (suspect(server, "told by another VM")
                && message.path(PASS_ON).asBoolean()
                && broadcaster.isLeading()
                && mayTell()) {
            broadcaster.sendToAll(message(server, false));
        }
        return true;
    }

    private ObjectNode message(ServerStart server, boolean passOn) {
        return MAPPER.createObjectNode()
                .put(SUSPECTED, server.server().value())
                .put(STARTED, server.startedUnixMillis())
                .put(PASS_ON, passOn);
    }

    /** Counts a server as cold until an entry could have been read that was written later; returns whether that is new. */
    private boolean suspect(ServerStart server, String reason) {
        long nowMillis = clockMillis.getAsLong();
        Optional<KnownServer> limited = registry.servers(nowMillis).stream()
                .filter(known -> known.start().equals(server)
                        && rates.limits(known.entry().service()))
                .findFirst();
        if (limited.isEmpty()) {
            return false;
        }
        long untilMillis = nowMillis + SUSPECTED_ENTRY_INTERVALS * settings.entryIntervalMillis();
        registry.suspectCold(server, untilMillis);
        if (limited.get().entry().cold()) {
            return false;
        }
        metrics.onColdSuspected();
        events.write(
                "server.cold-suspected",
                "server",
                server,
                "reason",
                reason,
                "until_view_in_ms",
                untilMillis - nowMillis);
        return true;
    }
}
