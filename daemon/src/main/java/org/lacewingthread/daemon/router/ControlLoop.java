package org.lacewingthread.daemon.router;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.AppendResult;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.FirstUse;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.LogPosition;
import org.lacewingthread.core.keyrange.RangeCoordinator;
import org.lacewingthread.core.keyrange.RangeLeaseTimes;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.ServiceView;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.RequestFingerprint;
import org.lacewingthread.core.registry.RegistryChanges;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.events.FailureLoggingTask;

/**
 * Holds the control state: configuration, known servers and ownership of key ranges. Runs on the control thread and
 * passes immutable snapshots to the traffic thread.
 */
final class ControlLoop implements Platform.Listener {
    private static final long LEADER_TICK_MILLIS = 20;
    private static final long FOLLOWER_TICK_MILLIS = 100;
    /** How often former leaders are told of the new term, until they answer. */
    private static final long NEW_TERM_RESEND_MILLIS = 200;
    /** How often each entry VM reports its load to the leader. */
    private static final long REPORT_INTERVAL_MILLIS = 500;
    /** The same while requests for keys wait, since their owners may have too much load. */
    private static final long WAITING_REPORT_INTERVAL_MILLIS = 150;

    private final VmStart self;
    private final FormerLeaderMessages formerLeaders;
    private final LimitExchange limitExchange;
    private final ColdServerControl coldServers;
    private final CrashRecordExchange crashRecords;
    private final CrashRecordExchange.Receiver crashRecordReceiver;
    private final ReportChannel reportChannel;
    private final Platform platform;
    private final FirstUse firstUse;
    private final RangeCoordinator coordinator;
    private final ControlClock clock;
    private final EventLoop eventLoop;
    private final EventLog events;
    private final ControlEventLogger eventLogger;
    private final RouterMetrics metrics;
    private final Consumer<ServingConfiguration> onConfiguration;
    private final BiConsumer<List<KnownServer>, RangeTable> topologyListener;
    private final ServerViews serverViews;
    private final ServerRegistry registry;
    private final KeyspaceLoad keyspaceLoad = new KeyspaceLoad();
    private final LoadReports loadReports;
    private final RangeCommandSender rangeCommands;
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private List<KnownServer> publishedServers = List.of();
    private RangeTable publishedTable = RangeTable.EMPTY;
    private boolean serversKnown;
    private boolean wasLeading;
    private boolean stopped;
    private boolean leaderEligible = true;
    private long reportedMillis;

    ControlLoop(
            Leader self,
            DataCentreId dataCentre,
            RangeLeaseTimes leaseTimes,
            FirstUse firstUse,
            ServerViews serverViews,
            ColdServerSettings coldServerSettings,
            Platform platform,
            ControlClock clock,
            EventLoop eventLoop,
            EventLog events,
            RouterMetrics metrics,
            Consumer<ServingConfiguration> onConfiguration,
            BiConsumer<List<KnownServer>, RangeTable> topologyListener,
            LoadReports.ResultListener reportListener,
            LimitExchange.AnswerListener permitListener,
            RangeCommandSender.CallListener callListener,
            CrashRecordExchange.Receiver crashRecordReceiver) {
        this.self = self.process();
        this.firstUse = firstUse;
        this.serverViews = serverViews;
        this.registry = serverViews.registry();
        this.platform = platform;
        this.eventLogger = new ControlEventLogger(events, this::storeSilenceMillis);
        this.coordinator = new RangeCoordinator(self, leaseTimes, eventLogger, clock::leadMillis, firstUse);
        this.clock = clock;
        this.formerLeaders = new FormerLeaderMessages(this.self, coordinator, clock);
        this.loadReports = new LoadReports(
                self, dataCentre, coordinator, registry, platform, clock, eventLogger, keyspaceLoad, reportListener);
        this.limitExchange = new LimitExchange(
                this.self.vm().value(),
                eventLoop,
                clock::nowMillis,
                events,
                metrics,
                coordinator::isLeading,
                loadReports::sendToLeader,
                permitListener);
        this.coldServers = new ColdServerControl(
                coldServerSettings, eventLoop, registry, clock::nowMillis, events, metrics, loadReports);
        this.crashRecordReceiver = crashRecordReceiver;
        this.crashRecords =
                new CrashRecordExchange(eventLoop, platform.crashRecordStore(), loadReports, crashRecordReceiver);
        this.reportChannel = new ReportChannel(
                events,
                loadReports,
                formerLeaders,
                (message, reply) -> limitExchange.onMessage(message, reply)
                        || crashRecords.onMessage(message)
                        || coldServers.onMessage(message));
        loadReports.start(reportChannel, this::publish);
        serverViews.setPublisher(this::publish);
        this.eventLoop = eventLoop;
        this.events = events;
        this.metrics = metrics;
        this.onConfiguration = onConfiguration;
        this.topologyListener = topologyListener;
        this.rangeCommands = new RangeCommandSender(
                platform, coordinator, clock, events, new RangeCommandLog(events, metrics), this::step, callListener);
    }

    LimitExchange limitExchange() {
        return limitExchange;
    }

    ColdServerControl coldServers() {
        return coldServers;
    }

    CrashRecordLink crashRecords() {
        return crashRecords;
    }

    private long storeSilenceMillis(long nowMillis) {
        return coordinator.storeSilenceMillis(nowMillis);
    }

    void openReportChannel(InetSocketAddress address) throws InterruptedException {
        reportChannel.open(eventLoop, address);
    }

    void start() {
        new FailureLoggingTask(events, "tell-former-leaders", () -> formerLeaders.announceTerm(reportChannel))
                .scheduleEvery(NEW_TERM_RESEND_MILLIS, eventLoop);
        new FailureLoggingTask(events, "report", this::report).scheduleEvery(REPORT_INTERVAL_MILLIS, eventLoop);
        eventLoop.execute(() -> {
            platform.start(this);
            tick();
        });
    }

    private void report() {
        reportedMillis = clock.nowMillis();
        loadReports.send();
    }

    /** Reports the load early; may be called on any thread. */
    void onKeyedRequestsWaiting() {
        eventLoop.execute(() -> {
            if (clock.nowMillis() - reportedMillis >= WAITING_REPORT_INTERVAL_MILLIS) {
                report();
            }
        });
    }

    void leave() {
        eventLoop.execute(() -> {
            stopped = true;
            loadReports.stopAnswering();
            coordinator.setLeaderCandidate(false);
            platform.leave();
        });
    }

    boolean isReady() {
        return configuration.isPresent() && serversKnown;
    }

    boolean isLeading() {
        return coordinator.isLeading();
    }

    /** Counts a request for a key; may be called on any thread. */
    void onKeyRequested(ServiceId service, int key) {
        eventLoop.execute(() -> {
            if (coordinator.isLeading()) {
                loadReports.onReportedKey(service, key);
            } else {
                reportChannel.addKey(service, key);
            }
        });
    }

    /** Sets the service times that the traffic thread measured; may be called on any thread. */
    void onServiceTimes(Map<ServerStart, Double> measured) {
        eventLoop.execute(() -> loadReports.onOwnServiceTimes(measured));
    }

    /** Records that a server's answer said that it leaves; may be called on any thread. */
    void onServerLeaving(ServerStart server) {
        eventLoop.execute(() -> loadReports.onServerLeaving(server));
    }

    /** Sets what the traffic thread knows of this VM's links to the servers; may be called on any thread. */
    void onReach(Reach reach) {
        eventLoop.execute(() -> {
            loadReports.onReach(reach);
            boolean eligible = !loadReports.isImpaired();
            if (eligible != leaderEligible) {
                leaderEligible = eligible;
                platform.setLeaderEligible(eligible);
            }
        });
    }

    private void tick() {
        long tickMillis = coordinator.isLeading() ? LEADER_TICK_MILLIS : FOLLOWER_TICK_MILLIS;
        eventLoop.schedule(this::tick, tickMillis, TimeUnit.MILLISECONDS);
        new FailureLoggingTask(events, "lead", loadReports::onTurn).run();
        new FailureLoggingTask(events, "control", this::step).run();
    }

    private void step() {
        long nowMillis = clock.nowMillis();
        publish(nowMillis);
        updateLeadership();
        if (configuration.isEmpty() || !serversKnown) {
            return;
        }
        RangeTable previousTable = coordinator.table();
        for (CoordinatorAction action : coordinator.step(serviceViews(nowMillis), nowMillis)) {
            if (action instanceof CoordinatorAction.RecordTable record) {
                ControlEventLogger.Append append = new ControlEventLogger.Append(record, previousTable, nowMillis);
                platform.appendTable(record, result -> onTableRecorded(append, result));
            } else if (action instanceof CoordinatorAction.Grant grant) {
                rangeCommands.grant(grant, nowMillis);
            } else if (action instanceof CoordinatorAction.Release release) {
                rangeCommands.release(release, nowMillis);
            }
        }
    }

    private void updateLeadership() {
        if (wasLeading != coordinator.isLeading()) {
            wasLeading = coordinator.isLeading();
            platform.setLeading(wasLeading);
            eventLogger.logLeadershipChange(wasLeading, coordinator.table());
            if (!wasLeading) {
                loadReports.announceNewLeader();
            }
        }
    }

    private void publish(long nowMillis) {
        List<KnownServer> servers = serverViews.servers(nowMillis);
        RangeTable table = coordinator.table();
        if (!servers.equals(publishedServers) || !table.equals(publishedTable)) {
            publishedServers = servers;
            publishedTable = table;
            topologyListener.accept(servers, table);
        }
    }

    private Map<ServiceId, ServiceView> serviceViews(long nowMillis) {
        if (!coordinator.isLeading()) {
            return Map.of();
        }
        Map<ServerStart, Double> limits = coldServers.addTo(limitExchange.settledLimitsPerSecond(), publishedServers);
        return serverViews.ofKeyedServices(
                configuration.orElseThrow(), keyspaceLoad, publishedServers, limits, nowMillis);
    }

    private void onTableRecorded(ControlEventLogger.Append append, AppendResult result) {
        long nowMillis = clock.nowMillis();
        eventLogger.logAppendEnded(append, result, nowMillis);
        coordinator.onRecorded(append.record(), result, nowMillis);
        loadReports.announceTable();
        step();
    }

    @Override
    public void onConfiguration(ServingConfiguration newest) {
        if (configuration.isPresent() && configuration.get().version() >= newest.version()) {
            return;
        }
        configuration = Optional.of(newest);
        eventLogger.logConfigurationApplied(newest);
        coldServers.onConfiguration(newest);
        onConfiguration.accept(newest);
    }

    @Override
    public Platform.EvacuationListener evacuations() {
        return serverViews.evacuationListener();
    }

    @Override
    public void onRegistryChanges(RegistryChanges changes) {
        loadReports.announceRegistryChanges(changes);
    }

    @Override
    public void onRegistryReached() {
        registry.onReachable(clock.nowMillis());
    }

    @Override
    public void onRegistryCurrent(long asOfMillis) {
        registry.onCurrent(asOfMillis);
    }

    @Override
    public void onRegistryUnreachable() {
        registry.onUnreachable(clock.nowMillis());
    }

    @Override
    public void onServerChanged(ServerEntry entry) {
        rangeCommands.rememberAddress(entry, publishedServers);
        registry.put(entry);
        eventLogger.logServerSeen(entry);
        publish(clock.nowMillis());
    }

    @Override
    public void onServerRemoved(ServerId server) {
        registry.remove(server, clock.nowMillis());
        events.write("server.entry-gone", "server", server);
        publish(clock.nowMillis());
    }

    @Override
    public void onServersListed(List<ServerEntry> entries) {
        entries.forEach(entry -> rangeCommands.rememberAddress(entry, publishedServers));
        registry.replaceAll(entries, clock.nowMillis());
        serversKnown = true;
        events.write("servers.listed", "count", entries.size());
        publish(clock.nowMillis());
    }

    @Override
    public void onRangeTable(RangeTable table, LogPosition position, long askedAtMillis) {
        RangeTable previousTable = coordinator.table();
        if (coordinator.onTable(table, position, clock.nowMillis())) {
            eventLogger.logTableRead(previousTable, table, position.end(), "store");
        }
        loadReports.announceTable();
        coordinator.onStoreAnswer(position.era(), askedAtMillis);
        step();
    }

    @Override
    public void onRangeTableUnchanged(long era, long askedAtMillis) {
        coordinator.onStoreAnswer(era, askedAtMillis);
    }

    @Override
    public void onStoreEra(long era) {
        if (firstUse.onEraStated(era, clock.nowMillis())) {
            metrics.onNewStoreEra();
        }
    }

    @Override
    public void onStoredCrashRecord(CrashRecord known) {
        crashRecordReceiver.onStoredRecord(known);
    }

    @Override
    public void onCrashRecordDeleted(RequestFingerprint fingerprint) {
        crashRecordReceiver.onStoredRecordDeleted(fingerprint);
    }

    @Override
    public void onLeaderSelection(boolean selected) {
        coordinator.setLeaderCandidate(selected && !stopped);
    }
}
