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
import org.lacewingthread.daemon.peer.IdempotencyRecordService;
import org.lacewingthread.daemon.peer.PeerNetwork;
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
 * Process of one entry VM: creates, connects, starts and stops all components between callers and backend
 * servers on this machine.
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
    private static final IdempotencyRecords.Settings IDEMPOTENCY_RECORD_SETTINGS = IdempotencyRecords.Settings.DEFAULT;
    private static final int IO_THREADS = 4;

    private final EntrySettings settings;
    private final EntryVmIdentity identity;
    private final AuditLog auditLog = new AuditLog();
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final TrafficState trafficState = new TrafficState();
    private final PlatformClient platformClient;
    private final XnioWorker ioWorker;
    private final ControlThread controlThread;
    private final LogWorker logWorker;
    private final VmListPoller vmListPoller;
    private final PeerNetwork peerNetwork;
    private final PeerIdempotencyRecords recordCopies =
            new PeerIdempotencyRecords(IDEMPOTENCY_RECORD_SETTINGS, EntryVm::nowMillis);
    private final RosterHistory rosterHistory =
            new RosterHistory(IDEMPOTENCY_RECORD_SETTINGS.windowMillis(), nowMillis());
    private final ServerOrderSender serverOrderSender;
    private final LocalDispatcher dispatcher;
    private final CallerServer callerServer;
    private final OperatorServer operatorServer;
    private volatile RequestHandler router;

    private EntryVm(EntrySettings settings) throws IOException {
        this.settings = settings;
        this.identity = createIdentity(settings);
        this.platformClient = PlatformClient.open(PLATFORM_TIMEOUTS);
        this.ioWorker = Xnio.getInstance()
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
        this.controlThread = new ControlThread(machine, this::perform, EntryVm::nowMillis);
        this.logWorker = createLogWorker(codec);
        this.vmListPoller = new VmListPoller(
                new HttpVmList(
                        platformClient,
                        httpAddress(
                                settings.platform().vmListHost(),
                                settings.platform().vmListPort())),
                controlThread::offer);
        this.peerNetwork = new PeerNetwork(
                identity.self(),
                identity.dataCentre(),
                new PeerLogEntryCodec(codec),
                (sender, message) -> controlThread.offer(new ControlEvent.PeerMessageReceived(sender, message)),
                this::handleRelayed,
                new LocalRecordService(),
                EntryVm::nowMillis);
        this.serverOrderSender = new ServerOrderSender(ioWorker, EntryVm::nowMillis, new OrderListener());
        TrafficMetrics trafficMetrics = new TrafficMetrics(metrics);
        this.dispatcher = new LocalDispatcher(
                trafficState,
                ioWorker,
                EntryVm::nowMillis,
                new LocalDispatcher.Settings(settings.timing().startByMillis(), IDEMPOTENCY_RECORD_SETTINGS),
                new PeerRecordReplicator(trafficState, peerNetwork, rosterHistory, EntryVm::nowMillis),
                new TrafficListener(),
                trafficMetrics);
        this.router = new RequestRouter(
                trafficState,
                dispatcher,
                new RosterRelayDirectory(trafficState, peerNetwork, EntryVm::nowMillis),
                ioWorker,
                EntryVm::nowMillis);
        this.callerServer = createCallerServer(trafficMetrics);
        new ControlMetrics(metrics, this::status).register();
        this.operatorServer = new OperatorServer(
                settings.host(), settings.operatorPort(), this::status, auditLog::lines, metrics, this::leave);
    }

    /**
     * Starts an entry VM. It accepts callers' connections at once, but serves requests only once its state is
     * current.
     *
     * @throws IOException if a port can't be bound
     */
    public static EntryVm start(EntrySettings settings) throws IOException {
        EntryVm vm = new EntryVm(settings);
        vm.open();
        return vm;
    }

    private static EntryVmIdentity createIdentity(EntrySettings settings) {
        long startNumber = new SecureRandom().nextLong() >>> 1;
        VmStart self = new VmStart(settings.vmId(), startNumber);
        WriterId writer = new WriterId(settings.vm() + "-" + Long.toHexString(startNumber));
        RosterMember member = new RosterMember(self, settings.host(), settings.peerPort());
        return new EntryVmIdentity(settings.dataCentreId(), member, writer, List.of());
    }

    private LogWorker createLogWorker(LogRecordCodec codec) {
        EntrySettings.PlatformSettings address = settings.platform();
        HttpPlatformLog platformLog = new HttpPlatformLog(
                platformClient, httpAddress(address.logHost(), address.logPort()), address.logStream());
        return new LogWorker(platformLog, codec, identity.writer(), settings.vm(), controlThread::offer);
    }

    private CallerServer createCallerServer(TrafficMetrics trafficMetrics) throws IOException {
        return new CallerServer(
                new InetSocketAddress(InetAddress.getByName(settings.host()), settings.callerPort()),
                ioWorker,
                trafficState,
                router,
                settings.limits(),
                EntryVm::nowMillis,
                trafficMetrics,
                identity.writer().value());
    }

    private static URI httpAddress(String host, int port) {
        return URI.create("http://" + host + ":" + port);
    }

    private void open() throws IOException {
        peerNetwork.start(settings.host(), settings.peerPort());
        controlThread.start();
        vmListPoller.start();
        operatorServer.start();
        callerServer.start();
        LOG.log(
                System.Logger.Level.INFO,
                "entry VM {0} serves callers on port {1}",
                identity.self(),
                callerServer.port());
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Performs one action of the control; runs on the control thread. */
    private void perform(ControlAction action) {
        if (action instanceof ControlAction.Append append) {
            logWorker.append(append);
        } else if (action instanceof ControlAction.ReadLog read) {
            logWorker.read(read.from());
        } else if (action instanceof ControlAction.SendToPeer message) {
            peerNetwork.send(message.addressee(), message.message());
        } else if (action instanceof ControlAction.SendToServer order) {
            sendOrder(order);
        } else if (action instanceof ControlAction.Publish publish) {
            publishView(publish.view());
        } else if (action instanceof ControlAction.Audit line) {
            auditLog.add(line.line());
        }
    }

    private void sendOrder(ControlAction.SendToServer action) {
        ServerId server = action.order().server();
        ControlView view = trafficState.snapshot().view();
        if (view == null) {
            controlThread.offer(
                    new ControlEvent.ServerOrderFailed(server, action.order().sequence()));
            return;
        }
        view.state()
                .configuration()
                .server(server)
                .ifPresentOrElse(
                        spec -> serverOrderSender.send(spec, action.order(), action.deadlineMillis()),
                        () -> controlThread.offer(new ControlEvent.ServerOrderFailed(
                                server, action.order().sequence())));
    }

    private void publishView(ControlView view) {
        rosterHistory.onViewPublished(view, nowMillis());
        trafficState.publish(view);
        Set<VmStart> members = new HashSet<>();
        view.state().dataCentres().values().forEach(dataCentre -> dataCentre
                .members()
                .forEach(member -> members.add(member.start())));
        peerNetwork.retainOnly(members);
    }

    private RequestHandler.Cancellation handleRelayed(RoutedRequest request, ResponseSink sink) {
        return router.handle(request, sink);
    }

    /** Returns the current status of this VM, as shown on the operator port. */
    public VmStatus status() {
        ControlView view = trafficState.snapshot().view();
        return view == null ? VmStatus.starting(identity) : VmStatus.of(view, nowMillis());
    }

    /** Requests that this VM hand over its work and leave the roster; afterwards it can be stopped. */
    public void leave() {
        controlThread.offer(new ControlEvent.LeaveRequested());
    }

    /** Blocks until the current thread is interrupted or the process exits. */
    public void awaitStop() throws InterruptedException {
        Thread.currentThread().join();
    }

    @Override
    public void close() {
        callerServer.stop();
        operatorServer.close();
        controlThread.close();
        vmListPoller.close();
        logWorker.close();
        dispatcher.close();
        peerNetwork.close();
        platformClient.close();
        ioWorker.shutdownNow();
    }

    /** Stores copies of other entry VMs' idempotency records and returns the records of this one. */
    private final class LocalRecordService implements IdempotencyRecordService {
        @Override
        public boolean put(IdempotencyRecord record) {
            return recordCopies.put(record);
        }

        @Override
        public CollectReply recordsOf(Set<ShardId> shards) {
            List<IdempotencyRecord> own = dispatcher.recordsOf(shards);
            List<IdempotencyRecord> copies = recordCopies.copiesOf(shards);
            return new CollectReply(
                    Stream.concat(own.stream(), copies.stream()).toList(),
                    rosterHistory.departedProcesses(),
                    rosterHistory.coversWholeWindow(nowMillis()));
        }
    }

    /** Reports the outcome of orders to the control. */
    private final class OrderListener implements ServerOrderSender.Listener {
        @Override
        public void answered(ServerId server, long sequence, boolean accepted) {
            controlThread.offer(new ControlEvent.ServerOrderAnswered(server, sequence, accepted));
        }

        @Override
        public void failed(ServerId server, long sequence) {
            controlThread.offer(new ControlEvent.ServerOrderFailed(server, sequence));
        }
    }

    /** Reports observations of the dispatcher to the control. */
    private final class TrafficListener implements DispatchListener {
        @Override
        public void onServerConditionChanged(ServerId server, ServerCondition condition) {
            controlThread.offer(new ControlEvent.ServerObserved(server, condition));
        }

        @Override
        public void onViewDrained(long view) {
            controlThread.offer(new ControlEvent.ViewDrained(view));
        }

        @Override
        public void onLoadMeasured(List<ServerLoad> load) {
            controlThread.offer(new ControlEvent.LoadMeasured(load));
        }
    }
}
