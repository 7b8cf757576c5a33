package org.lacewingthread.daemon.entry;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.lease.EntryVmIdentity;
import org.lacewingthread.core.lease.EntryVmStateMachine;
import org.lacewingthread.core.log.LogReplica;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.ownership.LeaseOwnershipCoordinator;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.core.traffic.IdempotencyRecords;
import org.lacewingthread.daemon.backend.ServerOrderSender;
import org.lacewingthread.daemon.caller.CallerServer;
import org.lacewingthread.daemon.dispatch.DispatchListener;
import org.lacewingthread.daemon.dispatch.LocalDispatcher;
import org.lacewingthread.daemon.dispatch.PeerIdempotencyRecords;
import org.lacewingthread.daemon.dispatch.RequestRouter;
import org.lacewingthread.daemon.dispatch.TrafficMetrics;
import org.lacewingthread.daemon.dispatch.TrafficState;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.daemon.operator.ControlMetrics;
import org.lacewingthread.daemon.operator.OperatorServer;
import org.lacewingthread.daemon.operator.VmStatus;
import org.lacewingthread.daemon.peer.PeerNetwork;
import org.lacewingthread.daemon.peer.RecordService;
import org.lacewingthread.daemon.platform.HttpPlatformLog;
import org.lacewingthread.daemon.platform.HttpVmList;
import org.lacewingthread.daemon.platform.LogRecordCodec;
import org.lacewingthread.daemon.platform.PlatformClient;
import org.lacewingthread.daemon.settings.EntrySettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * One entry VM: everything between callers and backend servers on this machine.
 *
 * <pre>{@code
 * try (EntryVm vm = EntryVm.start(settings)) {
 *     vm.awaitStop();
 * }
 * }</pre>
 */
public final class EntryVm implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(EntryVm.class.getName());
    private static final PlatformClient.Timeouts PLATFORM_TIMEOUTS = new PlatformClient.Timeouts(500, 2_000);
    private static final IdempotencyRecords.Settings RECORD_SETTINGS = IdempotencyRecords.Settings.DEFAULT;
    private static final int IO_THREADS = 4;

    private final EntrySettings settings;
    private final EntryVmIdentity identity;
    private final AuditLog audit = new AuditLog();
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final TrafficState traffic = new TrafficState();
    private final PlatformClient platform;
    private final XnioWorker worker;
    private final ControlThread control;
    private final LogWorker log;
    private final VmListPoller vmList;
    private final PeerNetwork peers;
    private final PeerIdempotencyRecords recordCopies = new PeerIdempotencyRecords(RECORD_SETTINGS, EntryVm::nowMillis);
    private final RosterHistory rosterHistory = new RosterHistory(RECORD_SETTINGS.windowMillis(), nowMillis());
    private final ServerOrderSender orders;
    private final LocalDispatcher dispatcher;
    private final CallerServer callers;
    private final OperatorServer operators;
    private volatile RequestHandler router;

    private EntryVm(EntrySettings settings) throws IOException {
        this.settings = settings;
        this.identity = identityOf(settings);
        this.platform = PlatformClient.open(PLATFORM_TIMEOUTS);
        this.worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        LogRecordCodec codec = new LogRecordCodec();
        EntryVmStateMachine machine = new EntryVmStateMachine(
                identity,
                settings.timing(),
                new LogReplica(),
                term -> new LeaseOwnershipCoordinator(settings.timing()));
        this.control = new ControlThread(machine, this::perform, EntryVm::nowMillis);
        this.log = openLog(codec);
        this.vmList = new VmListPoller(
                new HttpVmList(
                        platform,
                        address(
                                settings.platform().vmListHost(),
                                settings.platform().vmListPort())),
                control::offer);
        this.peers = new PeerNetwork(
                identity.self(),
                identity.dataCentre(),
                new CodecAdapter(codec),
                (sender, message) -> control.offer(new ControlEvent.PeerMessageReceived(sender, message)),
                this::handleRelayed,
                new Records(),
                EntryVm::nowMillis);
        this.orders = new ServerOrderSender(worker, EntryVm::nowMillis, new OrderListener());
        TrafficMetrics trafficMetrics = new TrafficMetrics(metrics);
        this.dispatcher = new LocalDispatcher(
                traffic,
                worker,
                EntryVm::nowMillis,
                new LocalDispatcher.Settings(settings.timing().startByMillis(), RECORD_SETTINGS),
                new PeerRecordReplica(traffic, peers, rosterHistory, EntryVm::nowMillis),
                new TrafficListener(),
                trafficMetrics);
        this.router = new RequestRouter(
                traffic, dispatcher, new RosterRelays(traffic, peers, EntryVm::nowMillis), worker, EntryVm::nowMillis);
        this.callers = openCallers(trafficMetrics);
        new ControlMetrics(metrics, this::status).register();
        this.operators = new OperatorServer(
                settings.host(), settings.operatorPort(), this::status, audit::lines, metrics, this::leave);
    }

    /**
     * Starts an entry VM. It serves callers once its state is current.
     *
     * @throws IOException if a port can't be bound
     */
    public static EntryVm start(EntrySettings settings) throws IOException {
        EntryVm vm = new EntryVm(settings);
        vm.open();
        return vm;
    }

    private static EntryVmIdentity identityOf(EntrySettings settings) {
        long startNumber = new SecureRandom().nextLong() >>> 1;
        VmStart self = new VmStart(settings.vmId(), startNumber);
        WriterId writer = new WriterId(settings.vm() + "-" + Long.toHexString(startNumber));
        RosterMember member = new RosterMember(self, settings.host(), settings.peerPort());
        return new EntryVmIdentity(settings.dataCentreId(), member, writer, List.of());
    }

    private LogWorker openLog(LogRecordCodec codec) {
        EntrySettings.PlatformSettings at = settings.platform();
        HttpPlatformLog platformLog =
                new HttpPlatformLog(platform, address(at.logHost(), at.logPort()), at.logStream());
        return new LogWorker(platformLog, codec, identity.writer(), settings.vm(), control::offer);
    }

    private CallerServer openCallers(TrafficMetrics trafficMetrics) throws IOException {
        return new CallerServer(
                new InetSocketAddress(InetAddress.getByName(settings.host()), settings.callerPort()),
                worker,
                traffic,
                router,
                settings.limits(),
                EntryVm::nowMillis,
                trafficMetrics,
                identity.writer().value());
    }

    private static URI address(String host, int port) {
        return URI.create("http://" + host + ":" + port);
    }

    private void open() throws IOException {
        peers.start(settings.host(), settings.peerPort());
        control.start();
        vmList.start();
        operators.start();
        callers.start();
        LOG.log(System.Logger.Level.INFO, "entry VM {0} serves callers on port {1}", identity.self(), callers.port());
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Carries out one action of the control; runs on the control thread. */
    private void perform(ControlAction action) {
        if (action instanceof ControlAction.Append append) {
            log.append(append);
        } else if (action instanceof ControlAction.ReadLog read) {
            log.read(read.from());
        } else if (action instanceof ControlAction.SendToPeer message) {
            peers.send(message.addressee(), message.message());
        } else if (action instanceof ControlAction.SendToServer order) {
            sendOrder(order);
        } else if (action instanceof ControlAction.Publish publish) {
            publish(publish.view());
        } else if (action instanceof ControlAction.Audit line) {
            audit.add(line.line());
        }
    }

    private void sendOrder(ControlAction.SendToServer action) {
        ServerId server = action.order().server();
        ControlView view = traffic.snapshot().view();
        if (view == null) {
            control.offer(
                    new ControlEvent.ServerOrderFailed(server, action.order().sequence()));
            return;
        }
        view.state()
                .configuration()
                .server(server)
                .ifPresentOrElse(
                        spec -> orders.send(spec, action.order(), action.deadlineMillis()),
                        () -> control.offer(new ControlEvent.ServerOrderFailed(
                                server, action.order().sequence())));
    }

    private void publish(ControlView view) {
        rosterHistory.onView(view, nowMillis());
        traffic.publish(view);
        Set<VmStart> members = new HashSet<>();
        view.state().dataCentres().values().forEach(dataCentre -> dataCentre
                .members()
                .forEach(member -> members.add(member.start())));
        peers.retainOnly(members);
    }

    private RequestHandler.Cancellation handleRelayed(RoutedRequest request, ResponseSink sink) {
        return router.handle(request, sink);
    }

    /** Returns what this VM knows. */
    public VmStatus status() {
        ControlView view = traffic.snapshot().view();
        return view == null ? VmStatus.starting(identity) : VmStatus.of(view, nowMillis());
    }

    /** Starts to hand over this VM's work; it then leaves the roster and may be stopped. */
    public void leave() {
        control.offer(new ControlEvent.LeaveRequested());
    }

    /** Blocks until the process is told to stop. */
    public void awaitStop() throws InterruptedException {
        Thread.currentThread().join();
    }

    @Override
    public void close() {
        callers.stop();
        operators.close();
        control.close();
        vmList.close();
        log.close();
        dispatcher.close();
        peers.close();
        platform.close();
        worker.shutdownNow();
    }

    /** Keeps and gives idempotency records for other entry VMs. */
    private final class Records implements RecordService {
        @Override
        public boolean put(IdempotencyRecord record) {
            return recordCopies.put(record);
        }

        @Override
        public Given recordsOf(Set<ShardId> shards) {
            List<IdempotencyRecord> own = dispatcher.recordsOf(shards);
            List<IdempotencyRecord> copies = recordCopies.copiesOf(shards);
            return new Given(
                    Stream.concat(own.stream(), copies.stream()).toList(),
                    rosterHistory.gone(),
                    rosterHistory.knowsWholeWindow(nowMillis()));
        }
    }

    /** Tells the control what became of orders. */
    private final class OrderListener implements ServerOrderSender.Listener {
        @Override
        public void answered(ServerId server, long sequence, boolean accepted) {
            control.offer(new ControlEvent.ServerOrderAnswered(server, sequence, accepted));
        }

        @Override
        public void failed(ServerId server, long sequence) {
            control.offer(new ControlEvent.ServerOrderFailed(server, sequence));
        }
    }

    /** Tells the control what traffic observes. */
    private final class TrafficListener implements DispatchListener {
        @Override
        public void onServerConditionChanged(ServerId server, ServerCondition condition) {
            control.offer(new ControlEvent.ServerObserved(server, condition));
        }

        @Override
        public void onViewDrained(long view) {
            control.offer(new ControlEvent.ViewDrained(view));
        }

        @Override
        public void onLoadMeasured(List<ServerLoad> load) {
            control.offer(new ControlEvent.LoadMeasured(load));
        }
    }
}
