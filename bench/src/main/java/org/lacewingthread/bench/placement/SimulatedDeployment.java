package org.lacewingthread.bench.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.lease.EntryVmIdentity;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.RosterMember;

/** The entry VMs, backend servers, log and load of one customer, in simulated time. */
final class SimulatedDeployment {
    private static final int VMS_PER_DATA_CENTRE = 3;
    private static final long TICK_INTERVAL_MICROS = 20_000;
    private static final long CONDITION_INTERVAL_MICROS = 10_000;
    private static final long LOAD_INTERVAL_MICROS = 5_000_000;
    private static final long VM_LIST_INTERVAL_MICROS = 1_000_000;
    private static final long INTRA_DATA_CENTRE_MICROS = 500;
    private static final long LOG_LATENCY_MICROS = 5_000;
    private static final long ORDER_LATENCY_MICROS = 1_000;
    private static final long ORDER_TIMEOUT_MICROS = 250_000;
    private static final int PEER_PORT = 7_000;

    final EventQueue queue = new EventQueue();
    final List<SimulatedEntryVm> vms = new ArrayList<>();
    final Map<ServerId, SimulatedBackendServer> servers = new TreeMap<>();
    final ZipfLoad firstLoad;
    final ZipfLoad secondLoad;
    boolean logUnavailable;
    private final Customer customer;
    private final List<LogEntry> log = new ArrayList<>();
    private long operatorSequence;
    private LogOffset configurationOffset = LogOffset.NONE;
    private ReplicaState cachedLoadsState;
    private Map<ShardId, ServerLoad.ShardLoad> cachedLoads = Map.of();

    SimulatedDeployment(Customer customer, long seed, double exponent) {
        this.customer = customer;
        Random random = new Random(seed);
        RoutingConfiguration configuration = customer.configuration(0);
        int shards = configuration.applications().get(0).shardCount();
        firstLoad = new ZipfLoad(customer.firstApplication, shards, exponent, seed);
        secondLoad = new ZipfLoad(customer.secondApplication, shards, exponent, seed + 1);
        publish(configuration);
        List<EntryVmIdentity> identities = createIdentities(random);
        for (EntryVmIdentity identity : identities) {
            SimulatedEntryVm vm = new SimulatedEntryVm(this, identity, 0.99 + 0.02 * random.nextDouble());
            vms.add(vm);
            queue.scheduleAfter(random.nextInt((int) TICK_INTERVAL_MICROS), () -> schedulePeriodicEvents(vm));
        }
        queue.scheduleEvery(VM_LIST_INTERVAL_MICROS, this::deliverVmList);
    }

    private void schedulePeriodicEvents(SimulatedEntryVm vm) {
        queue.scheduleEvery(TICK_INTERVAL_MICROS, () -> vm.deliver(new ControlEvent.Tick()));
        queue.scheduleEvery(CONDITION_INTERVAL_MICROS, vm::reportServerConditions);
        queue.scheduleEvery(LOAD_INTERVAL_MICROS, vm::reportLoad);
    }

    private List<EntryVmIdentity> createIdentities(Random random) {
        List<RosterMember> members = new ArrayList<>();
        Map<VmStart, DataCentreId> dataCentreByStart = new HashMap<>();
        for (DataCentreId dataCentre : customer.dataCentres) {
            for (int i = 0; i < VMS_PER_DATA_CENTRE; i++) {
                VmStart start = new VmStart(new VmId(dataCentre + "-" + i), random.nextInt(Integer.MAX_VALUE));
                members.add(new RosterMember(start, "127.0.0.1", PEER_PORT + members.size()));
                dataCentreByStart.put(start, dataCentre);
            }
        }
        return members.stream()
                .map(m -> new EntryVmIdentity(
                        dataCentreByStart.get(m.start()),
                        m,
                        new WriterId(m.start().vm().value()),
                        members))
                .toList();
    }

    private void deliverVmList() {
        List<VmId> live =
                vms.stream().filter(v -> v.up).map(v -> v.identity.self().vm()).toList();
        vms.forEach(v -> v.deliver(new ControlEvent.VmListRead(live, List.of())));
    }

    void publish(RoutingConfiguration configuration) {
        configuration.servers().forEach(s -> servers.computeIfAbsent(s.id(), id -> new SimulatedBackendServer(s)));
        LogOffset base = configurationOffset;
        configurationOffset = new LogOffset(log.size());
        appendAsOperator(new LogRecord.ConfigurationPublished(base, configuration));
    }

    /** Appends a record as the operator command line would. */
    void appendAsOperator(LogRecord record) {
        appendNow(new RecordHeader(new WriterId("operator"), operatorSequence++, "operator", 0), record);
    }

    private void appendNow(RecordHeader header, LogRecord record) {
        log.add(new LogEntry(new LogOffset(log.size()), header, record));
    }

    void append(SimulatedEntryVm vm, ControlAction.Append append) {
        VmId vmId = vm.identity.self().vm();
        RecordHeader header = new RecordHeader(vm.identity.writer(), append.sequence(), vmId.value(), 0);
        queue.scheduleAfter(LOG_LATENCY_MICROS, () -> {
            if (logUnavailable) {
                vm.deliver(new ControlEvent.LogUnavailable());
                vm.deliver(new ControlEvent.AppendRefused(append.sequence()));
            } else {
                appendNow(header, append.record());
            }
        });
    }

    void readLog(SimulatedEntryVm vm, LogOffset from) {
        queue.scheduleAfter(LOG_LATENCY_MICROS, () -> {
            if (logUnavailable) {
                vm.deliver(new ControlEvent.LogUnavailable());
                return;
            }
            int first = Math.min((int) from.value(), log.size());
            List<LogEntry> batch = List.copyOf(log.subList(first, log.size()));
            vm.deliver(new ControlEvent.LogRead(batch, new LogOffset(0), new LogOffset(log.size() - 1L)));
        });
    }

    void send(SimulatedEntryVm from, ControlAction.SendToPeer send) {
        ControlEvent event = new ControlEvent.PeerMessageReceived(from.identity.self(), send.message());
        vms.stream()
                .filter(v -> v.identity.self().equals(send.addressee().start()))
                .forEach(to -> queue.scheduleAfter(latencyMicros(from, to), () -> to.deliver(event)));
    }

    private long latencyMicros(SimulatedEntryVm from, SimulatedEntryVm to) {
        boolean sameDataCentre = from.identity.dataCentre().equals(to.identity.dataCentre());
        return sameDataCentre ? INTRA_DATA_CENTRE_MICROS : customer.interDataCentreMicros;
    }

    void sendOrder(SimulatedEntryVm vm, ServerOrder order) {
        queue.scheduleAfter(ORDER_LATENCY_MICROS, () -> {
            SimulatedBackendServer server = servers.get(order.server());
            if (server.up) {
                server.handleOrder(order, queue.nowMillis());
                queue.scheduleAfter(
                        ORDER_LATENCY_MICROS,
                        () -> vm.deliver(new ControlEvent.ServerOrderAnswered(order.server(), order.sequence(), true)));
            } else {
                queue.scheduleAfter(
                        ORDER_TIMEOUT_MICROS,
                        () -> vm.deliver(new ControlEvent.ServerOrderFailed(order.server(), order.sequence())));
            }
        });
    }

    void stopServer(ServerId server) {
        servers.get(server).up = false;
        servers.get(server).downSinceMillis = queue.nowMillis();
    }

    void replaceHottestKeys(int count) {
        firstLoad.replaceHottestKeys(count);
        secondLoad.replaceHottestKeys(count);
        cachedLoadsState = null;
    }

    /** Returns the load of every shard of the state's shard tables. The result is cached until the state changes. */
    @SuppressWarnings("ReferenceEquality")
    Map<ShardId, ServerLoad.ShardLoad> shardLoads(ReplicaState state) {
        if (state != cachedLoadsState) {
            cachedLoads =
                    new HashMap<>(firstLoad.loadByShard(state.shardTables().get(customer.firstApplication)));
            cachedLoads.putAll(secondLoad.loadByShard(state.shardTables().get(customer.secondApplication)));
            cachedLoadsState = state;
        }
        return cachedLoads;
    }

    /** Returns the most recent replica state of all running VMs. */
    ReplicaState newestState() {
        return vms.stream()
                .filter(v -> v.up && v.view != null)
                .map(v -> v.view.state())
                .max(Comparator.comparing(ReplicaState::appliedOffset))
                .orElseThrow();
    }

    int logRecordCount() {
        return log.size();
    }
}
