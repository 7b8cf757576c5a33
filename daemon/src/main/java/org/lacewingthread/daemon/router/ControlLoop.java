package org.lacewingthread.daemon.router;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeCoordinator;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.ServiceView;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.ServiceSpec;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.events.FailureLoggingTask;

/**
 * Owns the control state: configuration, known servers and ownership of key ranges. Runs on the
 * control thread and hands immutable views to the traffic side.
 */
final class ControlLoop implements Platform.Listener, LoadReports.Receiver {
    private static final long LEADER_TICK_MILLIS = 20;
    private static final long FOLLOWER_TICK_MILLIS = 100;
    /** Lapsed entries are back within about two seconds of the registry's return. */
    private static final long LAPSE_GRACE_MILLIS = 2_000;
    /** How often former leaders are told of the new term until they answer. */
    private static final long TELL_MILLIS = 200;
    /** A leader that the registry has not answered for this long can't tell of changes. */
    private static final long MAX_REGISTRY_SILENCE_MILLIS = 800;
    /** Silence of the store after which the leader is asked for the table that it recorded. */
    private static final long STORE_SILENCE_MILLIS = 1_500;
    /** How often load is reported to the leader. */
    private static final long REPORT_MILLIS = 500;

    private final VmStart self;
    private final LoadReports reports;
    private final Platform platform;
    private final RangeCoordinator coordinator;
    private final ControlClock clock;
    private final EventLoop eventLoop;
    private final EventLog events;
    private final ControlEvents log;
    private final Consumer<ServingConfiguration> onConfiguration;
    private final BiConsumer<List<KnownServer>, RangeTable> onView;
    private final ServerRegistry registry = new ServerRegistry(LAPSE_GRACE_MILLIS);
    private final KeyspaceLoad load = new KeyspaceLoad();
    private final EntryVmCount entryVms = new EntryVmCount();
    private final IntConsumer onEntryVmCount;
    private final OrderCarrier orders;
    private Map<ServerStart, Double> ownServiceMillis = Map.of();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private List<KnownServer> publishedServers = List.of();
    private RangeTable publishedTable = RangeTable.EMPTY;
    private long registryReachedMillis = Long.MIN_VALUE / 2;
    private boolean serversKnown;
    private boolean wasLeading;
    private boolean stopped;

    ControlLoop(
            VmStart self,
            Platform platform,
            RangeCoordinator coordinator,
            ControlClock clock,
            EventLoop eventLoop,
            EventLog events,
            Consumer<ServingConfiguration> onConfiguration,
            BiConsumer<List<KnownServer>, RangeTable> onView,
            IntConsumer onEntryVmCount) {
        this.self = self;
        this.reports = new LoadReports(events, this);
        this.platform = platform;
        this.coordinator = coordinator;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.events = events;
        this.log = new ControlEvents(events);
        this.onConfiguration = onConfiguration;
        this.onView = onView;
        this.onEntryVmCount = onEntryVmCount;
        this.orders = new OrderCarrier(platform, coordinator, clock, events, this::step);
    }

    void openReports(InetSocketAddress address) throws InterruptedException {
        reports.open(eventLoop, address);
    }

    void start() {
        eventLoop.scheduleAtFixedRate(
                new FailureLoggingTask(events, "tell-former-leaders", this::tellFormerLeaders),
                TELL_MILLIS,
                TELL_MILLIS,
                TimeUnit.MILLISECONDS);
        eventLoop.scheduleAtFixedRate(
                new FailureLoggingTask(events, "report", this::report),
                REPORT_MILLIS,
                REPORT_MILLIS,
                TimeUnit.MILLISECONDS);
        eventLoop.execute(() -> {
            platform.start(this);
            tick();
        });
    }

    /** Stops leading and lets the platform choose another VM. */
    void leave() {
        eventLoop.execute(() -> {
            stopped = true;
            coordinator.setLeaderCandidate(false);
            platform.leave();
        });
    }

    /** Tells whether configuration and servers are known. */
    boolean isReady() {
        return configuration.isPresent() && serversKnown;
    }

    boolean isLeading() {
        return coordinator.isLeading();
    }

    /** Takes a request of a key from the traffic side. */
    void onKeyAsked(ServiceId service, int key) {
        eventLoop.execute(() -> {
            if (coordinator.isLeading()) {
                onKey(service, key);
            } else {
                reports.add(service, key);
            }
        });
    }

    private void report() {
        Optional<Leader> leader = coordinator.table().leader();
        if (coordinator.isLeading()) {
            onEntryVmCount.accept(entryVms.count(self.vm().value(), clock.nowMillis()));
        }
        if (leader.isEmpty() || coordinator.isLeading()) {
            reports.clear();
            return;
        }
        boolean storeIsSilent = coordinator.storeSilenceMillis(clock.nowMillis()) > STORE_SILENCE_MILLIS;
        OptionalLong wantsTableAfter = storeIsSilent ? OptionalLong.of(coordinator.logEnd()) : OptionalLong.empty();
        reports.send(self.vm().value(), leader.get(), ownServiceMillis, wantsTableAfter);
        ownServiceMillis = Map.of();
    }

    @Override
    public Optional<LoadReports.LeaderWord> leaderWord() {
        if (!coordinator.isLeading() || stopped) {
            return Optional.empty();
        }
        long nowMillis = clock.nowMillis();
        return Optional.of(new LoadReports.LeaderWord(
                coordinator.storeSilenceMillis(nowMillis),
                nowMillis - registryReachedMillis,
                entryVms.count(self.vm().value(), nowMillis),
                platform.positions()));
    }

    @Override
    public void onLeaderWord(LoadReports.LeaderWord word) {
        onEntryVmCount.accept(word.entryVms());
        coordinator.onLeaderAnswer(word.storeSilenceMillis(), clock.nowMillis());
        if (word.registrySilenceMillis() < MAX_REGISTRY_SILENCE_MILLIS) {
            platform.onLeaderPositions(word.positions());
        }
    }

    @Override
    public Optional<LoadReports.RecordedTable> tableAfter(long position) {
        return coordinator.isLeading() && coordinator.logEnd() > position
                ? Optional.of(new LoadReports.RecordedTable(coordinator.table(), coordinator.logEnd()))
                : Optional.empty();
    }

    @Override
    public void onTableFromLeader(LoadReports.RecordedTable recorded) {
        if (coordinator.onTable(recorded.table(), recorded.end(), clock.nowMillis())) {
            log.tableRead(recorded.table(), recorded.end(), "leader");
            publish(clock.nowMillis());
        }
    }

    @Override
    public Optional<VmStart> processNotLeadingBefore(long term) {
        coordinator.onNewTerm(term);
        return coordinator.isLeading() ? Optional.empty() : Optional.of(self);
    }

    @Override
    public void onNotLeading(VmStart process) {
        long nowMillis = clock.nowMillis();
        for (Leader former : coordinator.formerLeadersToNotify()) {
            if (former.process().vm().equals(process.vm())) {
                coordinator.onFormerLeaderStopped(former.process(), nowMillis);
            }
        }
    }

    private void tellFormerLeaders() {
        coordinator
                .formerLeadersToNotify()
                .forEach(former ->
                        reports.tellNewTerm(former, coordinator.table().term()));
    }

    @Override
    public void onReport(String vm) {
        entryVms.onReport(vm, clock.nowMillis());
    }

    @Override
    public void onKey(ServiceId service, int key) {
        load.onKey(service, key, clock.nowMillis());
    }

    @Override
    public void onServiceTime(String vm, ServerStart server, double millis) {
        load.onServiceTime(server, millis);
    }

    /** Takes the service times that the traffic side measured. */
    void onServiceTimes(Map<ServerStart, Double> measured) {
        eventLoop.execute(() -> {
            ownServiceMillis = measured;
            if (coordinator.isLeading()) {
                measured.forEach((server, millis) -> onServiceTime(self.vm().value(), server, millis));
            }
        });
    }

    private void tick() {
        long tickMillis = coordinator.isLeading() ? LEADER_TICK_MILLIS : FOLLOWER_TICK_MILLIS;
        eventLoop.schedule(this::tick, tickMillis, TimeUnit.MILLISECONDS);
        new FailureLoggingTask(events, "control", this::step).run();
    }

    private void step() {
        long nowMillis = clock.nowMillis();
        publish(nowMillis);
        noteLeadership();
        if (configuration.isEmpty() || !serversKnown) {
            return;
        }
        for (CoordinatorAction action : coordinator.step(serviceViews(nowMillis), nowMillis)) {
            if (action instanceof CoordinatorAction.RecordTable record) {
                platform.record(record, newEnd -> onRecorded(record, newEnd));
            } else if (action instanceof CoordinatorAction.Grant grant) {
                orders.grant(grant);
            } else if (action instanceof CoordinatorAction.Release release) {
                orders.release(release);
            }
        }
    }

    private void noteLeadership() {
        if (wasLeading != coordinator.isLeading()) {
            wasLeading = coordinator.isLeading();
            platform.setLeading(wasLeading);
            log.leadership(wasLeading, coordinator.table());
        }
    }

    private void publish(long nowMillis) {
        List<KnownServer> servers = registry.servers(nowMillis);
        RangeTable table = coordinator.table();
        if (!servers.equals(publishedServers) || !table.equals(publishedTable)) {
            publishedServers = servers;
            publishedTable = table;
            onView.accept(servers, table);
        }
    }

    private Map<ServiceId, ServiceView> serviceViews(long nowMillis) {
        Map<ServiceId, ServiceView> views = new TreeMap<>();
        if (!coordinator.isLeading()) {
            return views;
        }
        for (ServiceSpec service : configuration.orElseThrow().services().values()) {
            if (service.keyed()) {
                views.put(service.id(), load.view(service.id(), publishedServers, nowMillis));
            }
        }
        return views;
    }

    private void onRecorded(CoordinatorAction.RecordTable record, Optional<Long> newEnd) {
        coordinator.onRecorded(record, newEnd, clock.nowMillis());
        log.tableRecorded(record, newEnd.isPresent());
        step();
    }

    @Override
    public void onConfiguration(ServingConfiguration newest) {
        if (configuration.isPresent() && configuration.get().version() >= newest.version()) {
            return;
        }
        configuration = Optional.of(newest);
        log.configurationApplied(newest);
        onConfiguration.accept(newest);
    }

    @Override
    public void onRegistryReached() {
        registryReachedMillis = clock.nowMillis();
        registry.onReachable(registryReachedMillis);
    }

    @Override
    public void onRegistryUnreachable() {
        registry.onUnreachable(clock.nowMillis());
    }

    @Override
    public void onServer(ServerEntry entry) {
        remember(entry);
        registry.put(entry, clock.nowMillis());
        log.serverSeen(entry);
        publish(clock.nowMillis());
    }

    private void remember(ServerEntry entry) {
        Set<ServerStart> known = new HashSet<>();
        publishedServers.forEach(server -> known.add(server.start()));
        orders.remember(entry, known);
    }

    @Override
    public void onServerGone(ServerId server) {
        registry.remove(server, clock.nowMillis());
        events.write("server.entry-gone", "server", server);
        publish(clock.nowMillis());
    }

    @Override
    public void onServers(List<ServerEntry> entries) {
        entries.forEach(this::remember);
        registry.replaceAll(entries, clock.nowMillis());
        serversKnown = true;
        events.write("servers.listed", "count", entries.size());
        publish(clock.nowMillis());
    }

    @Override
    public void onTable(RangeTable table, long end, long askedAtMillis) {
        if (coordinator.onTable(table, end, clock.nowMillis())) {
            log.tableRead(table, end, "store");
        }
        coordinator.onStoreAnswer(askedAtMillis);
        step();
    }

    @Override
    public void onTableUnchanged(long askedAtMillis) {
        coordinator.onStoreAnswer(askedAtMillis);
    }

    @Override
    public void onChosen(boolean chosen) {
        coordinator.setLeaderCandidate(chosen && !stopped);
    }
}
