package org.lacewingthread.daemon.router;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeCoordinator;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.core.traffic.RetryBudget;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.events.LoggedTask;
import org.lacewingthread.daemon.intake.CallerListener;

/**
 * A router process: one thread for traffic, one for control.
 *
 * <pre>{@code
 * RouterProcess router = new RouterProcess(settings, names, events);
 * router.start(loop -> new MyPlatform(loop));
 * ...
 * router.stop();
 * }</pre>
 */
public final class RouterProcess {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Resolution of deadlines and of waiting requests. */
    private static final long TRAFFIC_TICK_MILLIS = 10;

    private static final long SERVICE_TIMES_INTERVAL_MILLIS = 2_000;
    /** How long a stopping process takes requests; the balancer sends no more after two questions a second apart. */
    private static final long BALANCER_REMOVAL_MILLIS = 2_900;
    /** Left before the process has to be gone. */
    private static final long STOP_MARGIN_MILLIS = 250;

    private static final long STOP_CHECK_INTERVAL_MILLIS = 50;

    private final RouterSettings settings;
    private final EventLog events;
    private final RouterMetrics metrics = new RouterMetrics();
    private final NioEventLoopGroup trafficGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("traffic", true));
    private final NioEventLoopGroup controlGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("control", true));
    private final EventLoop trafficEventLoop = trafficGroup.next();
    private final EventLoop controlEventLoop = controlGroup.next();
    private final ControlClock controlClock = new ControlClock();
    private final RequestEngine engine;
    private final CallerListener callerListener;
    private final VmStart self;
    private List<KnownServer> knownServers = List.of();
    private ControlLoop controlLoop;
    private volatile boolean stopping;

    /** Creates the platform's side on the control thread. */
    public interface PlatformFactory {
        /**
         * Creates it.
         *
         * @param loop the control thread
         * @param self this process
         * @param clock the control clock
         */
        Platform create(EventLoop loop, VmStart self, ControlClock clock);
    }

    /** Creates a process that has not started. */
    public RouterProcess(RouterSettings settings, HeaderNames names, EventLog events) {
        this.settings = settings;
        this.events = events;
        SplittableRandom random = new SplittableRandom();
        this.self = new VmStart(settings.vm(), random.nextLong(Long.MAX_VALUE));
        this.engine = new RequestEngine(
                names,
                events,
                metrics,
                new RequestDispatcher(settings.dataCentre(), random.split()),
                trafficEventLoop,
                new RetryBudget(settings.retryRatio(), settings.maxSavedRetries()),
                RouterProcess::trafficNowMillis,
                (service, key) -> controlLoop.onKeyRequested(service, key));
        this.callerListener = new CallerListener(engine, RouterProcess::trafficNowMillis);
    }

    /**
     * Opens the ports and joins the platform.
     *
     * @throws InterruptedException if the thread is interrupted while ports open
     */
    public void start(PlatformFactory platform) throws InterruptedException {
        Leader leader = new Leader(
                self,
                settings.reportAddress().getHostString(),
                settings.reportAddress().getPort());
        controlLoop = new ControlLoop(
                self,
                platform.create(controlEventLoop, self, controlClock),
                new RangeCoordinator(leader, settings.leaseTimes()),
                controlClock,
                controlEventLoop,
                events,
                this::applyConfiguration,
                this::applyTopology,
                count -> trafficEventLoop.execute(() -> engine.onEntryVmCount(count)));
        registerGauges();
        callerListener.open(
                trafficGroup,
                settings.callerAddress().getHostString(),
                settings.callerAddress().getPort());
        new StatusListener(events, target -> readiness()).open(controlGroup, settings.readinessAddress());
        new StatusListener(events, target -> new StatusListener.Page(HttpResponseStatus.OK, metrics.scrape()))
                .open(controlGroup, settings.metricsAddress());
        trafficEventLoop.scheduleAtFixedRate(
                new LoggedTask(events, "deadlines", engine::tick),
                TRAFFIC_TICK_MILLIS,
                TRAFFIC_TICK_MILLIS,
                TimeUnit.MILLISECONDS);
        trafficEventLoop.scheduleAtFixedRate(
                new LoggedTask(events, "service-times", this::reportServiceTimes),
                SERVICE_TIMES_INTERVAL_MILLIS,
                SERVICE_TIMES_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        controlLoop.openReportChannel(settings.reportAddress());
        controlLoop.start();
        events.write("process.started", "start", self, "callers", settings.callerAddress());
    }

    private static long trafficNowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    private void registerGauges() {
        metrics.gauge("unanswered", "requests without answer", engine::unansweredCount);
        metrics.gauge("waiting", "requests that wait for a server", engine::waitingCount);
        metrics.gauge("connections.opened", "connections opened to servers", engine::connectionsOpened);
        metrics.gauge("leading", "1 while this VM leads the key ranges", () -> controlLoop.isLeading() ? 1 : 0);
        metrics.gauge("ready", "1 while this VM serves callers", () -> isReady() ? 1 : 0);
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
        });
    }

    private void applyTopology(List<KnownServer> servers, RangeTable table) {
        long controlNowMillis = controlClock.nowMillis();
        long trafficNow = trafficNowMillis();
        List<KnownServer> translated = servers.stream()
                .map(server -> server.shiftedBy(trafficNow - controlNowMillis))
                .toList();
        trafficEventLoop.execute(() -> {
            knownServers = translated;
            engine.onTopologyChange(translated, table);
        });
    }

    private void reportServiceTimes() {
        Map<ServerStart, Double> measured = new HashMap<>();
        knownServers.forEach(server ->
                engine.serviceMillis(server.start()).ifPresent(millis -> measured.put(server.start(), millis)));
        controlLoop.onServiceTimes(Map.copyOf(measured));
    }

    /**
     * Stops: tells the balancer, ends requests under way and closes kept connections with their next
     * answer. Returns when nothing is left or the time is up.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void stop() throws InterruptedException {
        long startedMillis = trafficNowMillis();
        long deadlineMillis = startedMillis + settings.stopMillis() - STOP_MARGIN_MILLIS;
        stopping = true;
        events.write("process.stopping", "deadline_in_ms", deadlineMillis - startedMillis);
        controlLoop.leave();
        trafficEventLoop.execute(callerListener::stop);
        CountDownLatch quiet = new CountDownLatch(1);
        trafficEventLoop.scheduleAtFixedRate(
                () -> {
                    boolean noticed = trafficNowMillis() - startedMillis >= BALANCER_REMOVAL_MILLIS;
                    if (noticed) {
                        callerListener.refuseMore();
                    }
                    if (noticed && callerListener.connectionCount() == 0) {
                        quiet.countDown();
                    }
                },
                STOP_CHECK_INTERVAL_MILLIS,
                STOP_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        boolean isQuiet = quiet.await(deadlineMillis - startedMillis, TimeUnit.MILLISECONDS);
        events.write("process.stopped", "quiet", isQuiet, "unanswered", engine.unansweredCount());
    }
}
