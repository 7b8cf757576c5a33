package org.lacewingthread.daemon.router;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.dispatch.ColdServers;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.hedging.HedgePolicy;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.FirstUse;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.quarantine.CrashRecord;
import org.lacewingthread.core.quarantine.RequestFingerprint;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.core.traffic.ServiceRetryBudget;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.events.FailureLoggingTask;
import org.lacewingthread.daemon.exchange.RelayedRequest;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.intake.CallerListener;
import org.lacewingthread.daemon.peer.RouterRelay;
import org.lacewingthread.daemon.reading.WatchedLoop;

/**
 * A router process. The traffic thread handles requests; the control thread keeps configuration, servers and ranges.
 *
 * <pre>{@code
 * RouterProcess router = new RouterProcess(settings, headerNames, events);
 * router.start((loop, self, clock) -> new MyPlatform(loop, clock));
 * ...
 * router.stop();
 * }</pre>
 */
public final class RouterProcess {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** How often deadlines and queued requests are checked. */
    private static final long TRAFFIC_TICK_MILLIS = 10;

    /** How often the control thread is told whether servers answer the traffic thread. */
    private static final long REACH_INTERVAL_MILLIS = 100;

    private static final long SERVICE_TIMES_INTERVAL_MILLIS = 2_000;
    /**
     * How long a stopping process accepts requests. The load balancer stops sending them after two readiness checks,
     * which are a second apart.
     */
    private static final long BALANCER_REMOVAL_MILLIS = 2_900;
    /** Reserve between the end of the wait for requests and the time at which the process must have ended. */
    private static final long STOP_MARGIN_MILLIS = 250;

    private static final long STOP_CHECK_INTERVAL_MILLIS = 50;
    /** Number of entry VMs that share limits until the leader has told it. */
    private static final int ASSUMED_ENTRY_VM_COUNT = 12;

    private final RouterSettings settings;
    private final EventLog events;
    private final RouterMetrics metrics = new RouterMetrics();
    private final WatchedLoop traffic =
            new WatchedLoop("traffic", RouterProcess::trafficNowMillis, metrics::onTrafficPass);
    private final NioEventLoopGroup controlGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("control", true));
    private final EventLoop trafficEventLoop = traffic.eventLoop();
    private final EventLoop controlEventLoop = controlGroup.next();
    private final ControlClock controlClock = new ControlClock();
    private final ServerViews serverViews;
    private final RequestEngine engine;
    private final ColdServers coldServers;
    private final RelayReceiver relayReceiver;
    private final RouterRelay relay;
    private final CallerListener callerListener;
    private final OperatorPages operatorPages;
    private final VmStart self;
    private List<KnownServer> knownServers = List.of();
    private ControlLoop controlLoop;
    private volatile boolean stopping;
    private volatile Reach reach = Reach.UNKNOWN;

    /** Creates the connection to the platform, which runs on the control thread. */
    public interface PlatformFactory {
        /**
         * Creates the connection without starting it.
         *
         * @param loop event loop of the control thread
         * @param self identity of this process
         * @param clock the control clock
         */
        Platform create(EventLoop loop, VmStart self, ControlClock clock);
    }

    /** Creates a process without opening its ports. */
    public RouterProcess(RouterSettings settings, HeaderNames headerNames, EventLog events) {
        this.settings = settings;
        this.events = events;
        SplittableRandom random = new SplittableRandom();
        this.serverViews = new ServerViews(settings, RouterProcess::trafficNowMillis, controlClock, events, metrics);
        this.self = new VmStart(settings.vm(), random.nextLong(Long.MAX_VALUE));
        RequestDispatcher dispatcher = new RequestDispatcher(settings.dataCentre(), random.split(), serverViews.gate());
        this.coldServers = dispatcher.coldServers();
        ServiceRetryBudget retryBudget = new ServiceRetryBudget(
                settings.retryRatio(), retrySlackOf(ASSUMED_ENTRY_VM_COUNT), settings.retryWindowMillis());
        this.engine = new RequestEngine(
                headerNames,
                events,
                metrics,
                dispatcher,
                trafficEventLoop,
                retryBudget,
                RouterProcess::trafficNowMillis,
                (service, key) -> controlLoop.onKeyRequested(service, key),
                new ControlLimitLink(() -> controlLoop),
                new LateCrashRecordLink(() -> controlLoop.crashRecords()),
                new RelaySender.Access(settings.dataCentre(), this::relay, random.split()));
        metrics.gauge("retry.budget.denied", "extra attempts that the retry budget did not allow", retryBudget::denied);
        settings.hedging().ifPresent(hedging -> engine.hedges().enable(new HedgePolicy(hedging)));
        this.callerListener = ProcessLimits.callerListener(engine, RouterProcess::trafficNowMillis);
        this.relayReceiver = new RelayReceiver(
                engine,
                callerListener.account(),
                RouterProcess::trafficNowMillis,
                () -> !stopping && !engine.links().isCutOff());
        this.relay =
                new RouterRelay(self, settings.dataCentre(), traffic, relayReceiver, RouterProcess::trafficNowMillis);
        RouteExplainer explainer = new RouteExplainer(
                engine,
                dispatcher,
                serverViews.silentGate(),
                serverViews::ages,
                RouterProcess::trafficNowMillis,
                () -> stopping);
        this.operatorPages = new OperatorPages(engine, explainer, trafficEventLoop, metrics, events);
    }

    private RequestHandler.Cancellation relay(RelayPeer peer, RelayedRequest request, ResponseSink sink) {
        return relay.send(peer, request, sink);
    }

    private final class CrashRecordReceiver implements CrashRecordExchange.Receiver {
        @Override
        public void onRecord(CrashRecord known) {
            trafficEventLoop.execute(() -> engine.crashGuard().onRecord(known));
        }

        @Override
        public void onStoredRecord(CrashRecord known) {
            trafficEventLoop.execute(() -> engine.crashGuard().onStoredRecord(known));
        }

        @Override
        public void onAcquitted(CrashRecord last) {
            trafficEventLoop.execute(() -> engine.crashGuard().onAcquitted(last));
        }

        @Override
        public void onStoredRecordDeleted(RequestFingerprint fingerprint) {
            trafficEventLoop.execute(() -> engine.crashGuard().onStoredRecordDeleted(fingerprint));
        }

        @Override
        public void onTrialReserved(CrashRecord withTrial, boolean reserved) {
            trafficEventLoop.execute(() -> engine.crashGuard().onTrialReserved(withTrial, reserved));
        }
    }

    /**
     * Opens the ports and starts to follow the platform.
     *
     * @throws InterruptedException if the thread is interrupted while the ports are opened
     * @throws IOException if the port for relayed requests can't be bound
     */
    public void start(PlatformFactory platform) throws InterruptedException, IOException {
        Leader leader = new Leader(
                self,
                settings.reportAddress().getHostString(),
                settings.reportAddress().getPort());
        Platform followed = platform.create(controlEventLoop, self, controlClock);
        controlLoop = new ControlLoop(
                leader,
                settings.dataCentre(),
                settings.leaseTimes(),
                new FirstUse(settings.firstStart(), controlClock.nowMillis()),
                serverViews,
                settings.coldServers(),
                followed,
                controlClock,
                controlEventLoop,
                events,
                metrics,
                this::applyConfiguration,
                this::applyTopology,
                new ReportListener(),
                (number, server, permit) -> trafficEventLoop.execute(() -> engine.onPermit(number, server, permit)),
                this::onServerCallEnded,
                new CrashRecordReceiver());
        registerGauges(followed);
        callerListener.open(
                traffic,
                settings.callerAddress().getHostString(),
                settings.callerAddress().getPort());
        new StatusListener(events, (method, target) -> CompletableFuture.completedStage(readiness()))
                .open(controlGroup, settings.readinessAddress());
        new StatusListener(events, operatorPages).open(controlGroup, settings.metricsAddress());
        every(TRAFFIC_TICK_MILLIS, "deadlines", engine::tick);
        every(REACH_INTERVAL_MILLIS, "reach", this::reportReach);
        every(SERVICE_TIMES_INTERVAL_MILLIS, "service-times", this::reportServiceTimes);
        controlLoop.openReportChannel(settings.reportAddress());
        relay.listen(
                settings.reportAddress().getHostString(),
                settings.reportAddress().getPort());
        controlLoop.start();
        events.write(
                "process.started",
                "start",
                self,
                "callers",
                settings.callerAddress(),
                "first_start",
                settings.firstStart());
    }

    private void every(long intervalMillis, String name, Runnable task) {
        FailureLoggingTask logging = new FailureLoggingTask(events, name, task);
        trafficEventLoop.scheduleAtFixedRate(logging, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void onServerCallEnded(ServerStart server, boolean answered, long elapsedMillis) {
        trafficEventLoop.execute(() -> {
            if (answered) {
                engine.links().onAnswer(server);
            } else {
                engine.links().onNoAnswer(server, trafficNowMillis() - elapsedMillis);
            }
        });
    }

    private final class ReportListener implements LoadReports.ResultListener {
        @Override
        public void onEntryVmCount(int count) {
            trafficEventLoop.execute(() -> engine.onEntryVmCount(count, retrySlackOf(count)));
        }

        @Override
        public void onRelayPeers(List<RelayPeer> peers) {
            trafficEventLoop.execute(() -> engine.relays().setPeers(peers));
        }

        @Override
        public void onLeaderLinksImpaired() {
            trafficEventLoop.execute(() -> engine.links().testIfUnknown());
        }
    }

    /** Returns this VM's part of the extra attempts beyond the share of its first ones; at least one, so that it can retry without load. */
    private double retrySlackOf(int entryVmCount) {
        return Math.max(1, settings.retrySlack() / entryVmCount);
    }

    private static long trafficNowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    private void registerGauges(Platform followed) {
        MemoryGauges.register(metrics, callerListener.account(), callerListener);
        metrics.gauge(
                "read.age.millis", "milliseconds for which bytes may have waited to be read", traffic::readAgeMillis);
        metrics.gauge("unanswered", "requests without answer", engine::unansweredCount);
        metrics.gauge("waiting", "requests that wait for a server", engine::waitingCount);
        metrics.gauge("connections.opened", "connections opened to servers", engine::connectionsOpened);
        metrics.gauge("servers.answering", "servers that answered of late", () -> reach.answeringServers());
        metrics.gauge("leading", "1 while this VM leads the key ranges", () -> controlLoop.isLeading() ? 1 : 0);
        metrics.gauge("ready", "1 while this VM serves callers", () -> isReady() ? 1 : 0);
        metrics.gauge(
                "response.dropped",
                "responses that counted for no request or call",
                () -> engine.droppedResponses() + followed.droppedResponses());
        metrics.gauge(
                "quarantine.suspected",
                "requests under which two or more servers ended",
                () -> engine.crashGuard().records().stream()
                        .filter(CrashRecord::isSuspect)
                        .count());
        metrics.gauge(
                "quarantine.rejected",
                "requests that are kept from all servers",
                () -> engine.crashGuard().records().stream()
                        .filter(CrashRecord::isRejected)
                        .count());
        metrics.gauge("evacuated", "evacuated data centres", serverViews::evacuatedCount);
        metrics.gauge("servers.cold.limited", "servers whose rate is limited while they are cold", coldServers::count);
        metrics.gauge(
                "servers.cold.sent", "requests sent to servers limited since they are cold", coldServers::sentCount);
        metrics.gauge(
                "servers.cold.held", "requests kept from servers limited since they are cold", coldServers::heldCount);
        metrics.gauge("store.calls", "calls to the store since the start", followed::storeCalls);
        metrics.gauge("store.calls.held.back", "calls held back from the store", followed::storeCallsHeldBack);
        metrics.gauge(
                "leader.group.member", "1 while in the leader group", () -> followed.isLeaderGroupMember() ? 1 : 0);
        metrics.gauge("leads.given.up", "how often this VM left the lead to others", followed::leadsGivenUp);
        metrics.gauge("log.dropped", "log lines dropped and not yet reported", events::droppedCount);
    }

    private boolean isReady() {
        return controlLoop.isReady() && !stopping;
    }

    private StatusListener.Page readiness() {
        return isReady()
                ? new StatusListener.Page(HttpResponseStatus.OK, "ready\n")
                : new StatusListener.Page(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
    }

    private void applyConfiguration(ServingConfiguration configuration) {
        trafficEventLoop.execute(() -> {
            callerListener.setLimits(configuration.limits());
            engine.onConfiguration(configuration);
            coldServers.setRates(settings.coldServers().rates(configuration), trafficNowMillis());
        });
    }

    private void applyTopology(List<KnownServer> servers, RangeTable table) {
        long controlNowMillis = controlClock.nowMillis();
        long trafficNow = trafficNowMillis();
        List<KnownServer> shiftedServers = servers.stream()
                .map(server -> server.shiftedBy(trafficNow - controlNowMillis))
                .toList();
        trafficEventLoop.execute(() -> {
            knownServers = shiftedServers;
            engine.onTopologyChange(shiftedServers, table);
        });
    }

    private void reportReach() {
        reach = engine.links().reach();
        controlLoop.onReach(reach);
        if (engine.keyedWaitingCount() > 0) {
            controlLoop.onKeyedRequestsWaiting();
        }
    }

    private void reportServiceTimes() {
        Map<ServerStart, Double> measured = new HashMap<>();
        knownServers.forEach(server ->
                engine.serviceMillis(server.start()).ifPresent(millis -> measured.put(server.start(), millis)));
        controlLoop.onServiceTimes(Map.copyOf(measured));
    }

    /**
     * Stops the process: reports itself as not ready to the load balancer, finishes running requests, those of other entry
     * VMs included, and closes each kept connection with its next response. Returns when no connection and no request is
     * left, or the stop time is over.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void stop() throws InterruptedException {
        long startedMillis = trafficNowMillis();
        long deadlineMillis = startedMillis + settings.stopMillis() - STOP_MARGIN_MILLIS;
        stopping = true;
        events.write("process.stopping", "deadline_in_ms", deadlineMillis - startedMillis);
        controlLoop.leave();
        trafficEventLoop.execute(callerListener::closeAfterNextResponse);
        CountDownLatch idle = new CountDownLatch(1);
        trafficEventLoop.scheduleAtFixedRate(
                () -> {
                    boolean removedFromBalancer = trafficNowMillis() - startedMillis >= BALANCER_REMOVAL_MILLIS;
                    if (removedFromBalancer) {
                        callerListener.drain();
                    }
                    if (removedFromBalancer && callerListener.connectionCount() == 0 && relayReceiver.isIdle()) {
                        idle.countDown();
                    }
                },
                STOP_CHECK_INTERVAL_MILLIS,
                STOP_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        boolean quiet = idle.await(deadlineMillis - startedMillis, TimeUnit.MILLISECONDS);
        events.write("process.stopped", "quiet", quiet, "unanswered", engine.unansweredCount());
    }
}
