package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongConsumer;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.LogPosition;
import org.lacewingthread.core.keyrange.RangeCoordinator;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.RangeTableDelta;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.registry.RegistryChanges;
import org.lacewingthread.core.registry.ServerRegistry;

/**
 * Reports this VM's load and its links to the servers to the leader and applies the answers; answers the reports of
 * others while this process leads. Runs on the control thread.
 */
final class LoadReports implements ReportListener, CrashRecordExchange.Broadcaster {
    /** If the registry has not answered the leader for this long, the leader's read positions are ignored. */
    private static final long MAX_REGISTRY_SILENCE_MILLIS = 800;
    /** If the store has not answered for this long, the leader is asked for the range table that it recorded. */
    private static final long MAX_STORE_SILENCE_MILLIS = 1_500;

    /** Time after an answer of the leader for which it counts as answering: two reports may be lost. */
    private static final long MAX_LEADER_SILENCE_MILLIS = 1_200;

    /** Most servers named in a report, so that it stays one datagram. */
    private static final int MAX_REPORTED_LEAVING_SERVERS = 10;

    private final Leader self;
    private final DataCentreId dataCentre;
    private final RangeCoordinator coordinator;
    private final ServerRegistry registry;
    private final Platform platform;
    private final ControlClock clock;
    private final ControlEventLogger eventLogger;
    private final KeyspaceLoad keyspaceLoad;
    private final ResultListener resultListener;
    private final EntryVmDirectory directory = new EntryVmDirectory();
    private final LeadKeeper leadKeeper;
    private ReportChannel channel;
    private LongConsumer publisher;
    private Map<ServerStart, Double> ownServiceMillis = Map.of();
    private Reach reach = Reach.UNKNOWN;
    /** Servers that said that they leave; the newest ones are reported. */
    private final Set<ServerStart> leavingServers = new LinkedHashSet<>();

    /** Era of the store in which the leader has read, as it stated last. */
    private long leaderEra;
    /** End of the log of range tables as the leader stated it last, in its era. */
    private long leaderTableEnd;

    /** Table and position that {@link #announceTable} has seen last. */
    private RangeTable announcedTable = RangeTable.EMPTY;

    private LogPosition announcedPosition = new LogPosition(0, -1);
    private boolean stopped;
    private long leaderAnsweredMillis = Long.MIN_VALUE / 2;
    private List<RelayPeer> relayPeers = List.of();

    /** Receives what the reports show. */
    interface ResultListener {
        /** Called with the number of live entry VMs. */
        void onEntryVmCount(int count);

        /** Called with the entry VMs that can send requests for this one. */
        void onRelayPeers(List<RelayPeer> peers);

        /** Called when the leader reaches no server, so that this VM may have to take over if it reaches some. */
        void onLeaderLinksImpaired();
    }

    LoadReports(
            Leader self,
            DataCentreId dataCentre,
            RangeCoordinator coordinator,
            ServerRegistry registry,
            Platform platform,
            ControlClock clock,
            ControlEventLogger eventLogger,
            KeyspaceLoad keyspaceLoad,
            ResultListener resultListener) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.coordinator = coordinator;
        this.registry = registry;
        this.platform = platform;
        this.clock = clock;
        this.eventLogger = eventLogger;
        this.keyspaceLoad = keyspaceLoad;
        this.resultListener = resultListener;
        this.leadKeeper = new LeadKeeper(coordinator, registry, platform, directory, eventLogger.events(), vm());
    }

    /** Records a turn of the control loop, whose lateness shows whether this VM can carry the lead. */
    void onTurn() {
        leadKeeper.onTurn(clock.nowMillis());
    }

    /**
     * Sets the channel to report through.
     *
     * @param tablePublisher called with the present time when a new table is known
     */
    void start(ReportChannel reportChannel, LongConsumer tablePublisher) {
        channel = reportChannel;
        publisher = tablePublisher;
    }

    /** Leaves reports unanswered from now on, so that another VM takes over. */
    void stopAnswering() {
        stopped = true;
    }

    /** Sets the service times that this VM measured. */
    void onOwnServiceTimes(Map<ServerStart, Double> measured) {
        ownServiceMillis = measured;
        if (coordinator.isLeading()) {
            measured.forEach((server, millis) -> onReportedServiceTime(vm(), server, millis));
        }
    }

    /** Records that a server's answer said that it leaves, and tells the leader. */
    void onServerLeaving(ServerStart server) {
        if (registry.onLeavingAnnounced(server, clock.nowMillis())) {
            eventLogger.logLeavingAnnounced(server);
            leavingServers.add(server);
            publisher.accept(clock.nowMillis());
        }
    }

    /** Sets what is known of this VM's links to the servers. */
    void onReach(Reach newest) {
        reach = newest;
        coordinator.onServerAnswer(clock.nowMillis() - newest.answerAgeMillis());
        updateImpairment();
    }

    private void updateImpairment() {
        coordinator.setLinksImpaired(isImpaired());
    }

    /** Returns whether this VM reaches no server, or far fewer than another one. */
    boolean isImpaired() {
        return reach.isImpaired(directory.mostAnsweringServers(clock.nowMillis()));
    }

    private String vm() {
        return self.process().vm().value();
    }

    private PendingReport.Reporter reporter() {
        return new PendingReport.Reporter(
                vm(),
                dataCentre,
                reach.cutOff(),
                reach.answeringServers(),
                reach.silentServers(),
                newestLeavingServers(),
                leadKeeper.ability());
    }

    private List<ServerStart> newestLeavingServers() {
        while (leavingServers.size() > MAX_REPORTED_LEAVING_SERVERS) {
            leavingServers.remove(leavingServers.iterator().next());
        }
        return List.copyOf(leavingServers);
    }

    /** Sends a report to the leader. */
    void send() {
        long nowMillis = clock.nowMillis();
        Optional<Leader> leader = coordinator.table().leader();
        if (coordinator.isLeading()) {
            resultListener.onEntryVmCount(directory.count(vm(), nowMillis));
            resultListener.onRelayPeers(directory.peersFor(vm(), dataCentre, nowMillis));
            updateImpairment();
        }
        if (leader.isEmpty() || coordinator.isLeading()) {
            channel.discardLoad();
            return;
        }
        boolean storeSilent = coordinator.storeSilenceMillis(nowMillis) > MAX_STORE_SILENCE_MILLIS;
        OptionalLong wantsTableAfter =
                storeSilent || isBehindLeader() ? OptionalLong.of(endInEraOfLeader()) : OptionalLong.empty();
        channel.sendReport(reporter(), leader.get(), nowMillis, ownServiceMillis, wantsTableAfter);
        ownServiceMillis = Map.of();
    }

    /** Returns whether the leader knows a newer table, of which no datagram arrived here. */
    private boolean isBehindLeader() {
        LogPosition known = coordinator.position();
        return known.era() == leaderEra && known.end() < leaderTableEnd;
    }

    /** Returns the end of the log that is known here; -1 if the leader knows the log of another era. */
    private long endInEraOfLeader() {
        LogPosition known = coordinator.position();
        return known.era() == leaderEra ? known.end() : -1;
    }

    @Override
    public Optional<ReportChannel.LeaderStatus> leaderStatus(PendingReport.Reporter reporter) {
        if (!coordinator.isLeading() || stopped) {
            return Optional.empty();
        }
        long nowMillis = clock.nowMillis();
        directory.onReport(reporter(), new InetSocketAddress(self.reportHost(), self.reportPort()), nowMillis);
        return Optional.of(new ReportChannel.LeaderStatus(
                coordinator.storeSilenceMillis(nowMillis),
                nowMillis - registry.currentAsOfMillis(),
                nowMillis - platform.configurationAsOfMillis(),
                directory.count(vm(), nowMillis),
                isImpaired(),
                directory.peersFor(reporter.vm(), reporter.dataCentre(), nowMillis),
                platform.positions(),
                directory.isStandby(reporter.vm(), vm(), nowMillis),
                leadKeeper.yields()));
    }

    @Override
    public void onLeaderStatus(ReportChannel.LeaderStatus status, Optional<Platform.AsOf> asOf) {
        resultListener.onEntryVmCount(status.entryVmCount());
        resultListener.onRelayPeers(status.relayPeers());
        relayPeers = status.relayPeers();
        leaderAnsweredMillis = clock.nowMillis();
        if (status.linksImpaired()) {
            resultListener.onLeaderLinksImpaired();
        }
        leaderEra = status.positions().era();
        leaderTableEnd = status.positions().table();
        coordinator.onLeaderAnswer(status.storeSilenceMillis(), !status.leaderMayStay(), clock.nowMillis());
        platform.onLeaderAnswer(status.standby(), status.standbysSuffice(), status.storeSilenceMillis());
        if (status.registrySilenceMillis() < MAX_REGISTRY_SILENCE_MILLIS) {
            platform.onLeaderPositions(status.positions(), asOf);
        }
    }

    @Override
    public Optional<ReportChannel.RecordedTable> recordedTableAfter(long position) {
        long end = coordinator.position().end();
        return coordinator.isLeading() && coordinator.isTableRecorded() && end > position
                ? Optional.of(new ReportChannel.RecordedTable(coordinator.table(), end))
                : Optional.empty();
    }

    /**
     * Tells all reporting VMs of the newest table, if this process leads, so that they need not read it. To be called
     * whenever the table may have changed, whether an append or a read brought it.
     */
    void announceTable() {
        LogPosition position = coordinator.position();
        if (position.equals(announcedPosition)) {
            return;
        }
        boolean follows =
                coordinator.isLeading() && coordinator.isTableRecorded() && position.era() == announcedPosition.era();
        if (follows) {
            ReportChannel.TableChange change = new ReportChannel.TableChange(
                    RangeTableDelta.between(announcedTable, coordinator.table()), announcedPosition, position.end());
            channel.sendTableChange(change, directory.addresses(clock.nowMillis()));
        }
        announcedTable = coordinator.table();
        announcedPosition = position;
    }

    /** Tells all reporting VMs of changes that this process has read as leader, so that they need not read them. */
    void announceRegistryChanges(RegistryChanges changes) {
        if (coordinator.isLeading()) {
            channel.sendRegistryChanges(changes, directory.addresses(clock.nowMillis()));
        }
    }

    /** Tells all VMs that reported to this process as the leader that another one leads now. */
    void announceNewLeader() {
        LogPosition position = coordinator.position();
        boolean anotherLeads = coordinator
                .table()
                .leader()
                .filter(leader -> !leader.equals(self))
                .isPresent();
        if (anotherLeads && coordinator.isTableRecorded()) {
            channel.sendTable(
                    new ReportChannel.RecordedTable(coordinator.table(), position.end()),
                    directory.addresses(clock.nowMillis()));
        }
    }

    @Override
    public boolean isLeading() {
        return coordinator.isLeading();
    }

    @Override
    public boolean isLeaderAnswering() {
        return clock.nowMillis() - leaderAnsweredMillis <= MAX_LEADER_SILENCE_MILLIS;
    }

    @Override
    public void sendToLeader(ObjectNode message) {
        coordinator.table().leader().ifPresent(leader -> channel.sendTo(leader, message));
    }

    @Override
    public void sendToAll(ObjectNode message) {
        List<InetSocketAddress> recipients = coordinator.isLeading()
                ? directory.addresses(clock.nowMillis())
                : relayPeers.stream()
                        .map(peer -> new InetSocketAddress(peer.host(), peer.port()))
                        .toList();
        channel.sendToAll(message, recipients);
    }

    @Override
    public void onRegistryChanges(RegistryChanges changes) {
        platform.onRegistryChangesKnown(changes);
    }

    @Override
    public void onTableChange(ReportChannel.TableChange change) {
        if (coordinator.position().equals(change.before())) {
            change.delta()
                    .applyTo(coordinator.table())
                    .ifPresent(table -> onTableFromLeader(new ReportChannel.RecordedTable(table, change.logEnd())));
        }
    }

    @Override
    public void onTableFromLeader(ReportChannel.RecordedTable recorded) {
        RangeTable previousTable = coordinator.table();
        LogPosition position = new LogPosition(recorded.table().era(), recorded.logEnd());
        if (coordinator.onTable(recorded.table(), position, clock.nowMillis())) {
            eventLogger.logTableRead(previousTable, recorded.table(), recorded.logEnd(), "leader");
            platform.onTableKnown(position);
            publisher.accept(clock.nowMillis());
        }
    }

    @Override
    public void onReport(String vm) {
        directory.onSeen(vm, clock.nowMillis());
    }

    @Override
    public void onReporter(PendingReport.Reporter reporter, InetSocketAddress address) {
        directory.onReport(reporter, address, clock.nowMillis());
        reporter.leavingServers().forEach(this::onServerLeaving);
    }

    @Override
    public void onReportedKey(ServiceId service, int key) {
        keyspaceLoad.recordKey(service, key, clock.nowMillis());
    }

    @Override
    public void onReportedServiceTime(String vm, ServerStart server, double millis) {
        keyspaceLoad.recordServiceTime(server, millis);
    }
}
