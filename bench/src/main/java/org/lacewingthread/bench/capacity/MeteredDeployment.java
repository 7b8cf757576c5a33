package org.lacewingthread.bench.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingthread.bench.placement.EventQueue;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.lease.EntryVmIdentity;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.daemon.backend.ServerOrderSender;
import org.lacewingthread.daemon.peer.LogEntryCodec;
import org.lacewingthread.daemon.peer.PeerFrameCodec;
import org.lacewingthread.daemon.platform.LogRecordCodec;

/** Entry VMs, a log and backend servers in simulated time. Messages and log records are passed as encoded bytes. */
final class MeteredDeployment {
    static final long VIEW_DRAIN_MICROS = 5_000;
    private static final long TICK_INTERVAL_MICROS = 25_000;
    private static final long LOAD_INTERVAL_MICROS = 2_000_000;
    private static final long VM_LIST_INTERVAL_MICROS = 1_000_000;
    private static final long LINK_LATENCY_MICROS = 1_000;
    private static final long LOG_LATENCY_MICROS = 5_000;
    private static final long ORDER_TIMEOUT_MICROS = 250_000;
    private static final long LOSS_DETECTION_MICROS = 300_000;
    private static final int MAX_RECORD_BYTES = 64 << 20;
    private static final int MAX_RECORDS_PER_READ = 1_000;
    private static final int PEER_PORT = 7_000;

    final EventQueue queue = new EventQueue();
    final DeploymentSize size;
    final Map<DataCentreId, List<MeteredVm>> vmsByDataCentre = new TreeMap<>();
    long appends;
    long appendedBytes;
    private final Random random = new Random(1);
    private final LogRecordCodec codec = new LogRecordCodec(MAX_RECORD_BYTES);
    private final PeerFrameCodec frames = new PeerFrameCodec(new EntryCodecAdapter());
    private final List<byte[]> log = new ArrayList<>();
    private final Map<VmStart, MeteredVm> vmsByStart = new HashMap<>();
    private final Set<ServerId> lostServers = new HashSet<>();
    private final Set<ServerId> detectedLostServers = new HashSet<>();
    private List<RosterMember> seedMembers = List.of();
    private LogOffset configurationOffset = LogOffset.NONE;
    private long operatorSequence;
    private int nextPort = PEER_PORT;

    MeteredDeployment(DeploymentSize size) {
        this.size = size;
        publish(2);
        for (int d = 0; d < size.dataCentres(); d++) {
            vmsByDataCentre.put(size.dataCentreId(d), new ArrayList<>());
            for (int i = 0; i < size.vms(); i++) {
                startVm(size.dataCentreId(d), i);
            }
        }
        queue.scheduleEvery(VM_LIST_INTERVAL_MICROS, this::deliverVmList);
    }

    private final class EntryCodecAdapter implements LogEntryCodec {
        @Override
        public byte[] encode(LogEntry entry) {
            return encodeRecord(entry.header(), entry.body());
        }

        @Override
        public LogEntry decode(LogOffset offset, byte[] data) {
            return codec.decode(offset, data);
        }
    }

    private byte[] encodeRecord(RecordHeader header, LogRecord body) {
        try {
            return codec.encode(header, body);
        } catch (LogRecordCodec.RecordTooLargeException e) {
            throw new IllegalStateException("record of " + header.writer() + " is larger than " + MAX_RECORD_BYTES, e);
        }
    }

    /** Starts an entry VM. As many VMs as there are data centres, the first to start, are known to all later ones. */
    void startVm(DataCentreId dataCentre, int index) {
        VmStart start = new VmStart(new VmId(dataCentre + "-vm-" + index), random.nextInt(Integer.MAX_VALUE));
        RosterMember member = new RosterMember(start, "10.0.0.1", nextPort++);
        List<RosterMember> knownMembers = new ArrayList<>(seedMembers);
        knownMembers.add(member);
        if (seedMembers.size() < size.dataCentres()) {
            seedMembers = List.copyOf(knownMembers);
        }
        MeteredVm vm = new MeteredVm(
                this,
                new EntryVmIdentity(
                        dataCentre,
                        member,
                        new WriterId(start.vm().value() + "-" + start.startNumber()),
                        knownMembers));
        vmsByStart.put(start, vm);
        vmsByDataCentre.get(dataCentre).add(vm);
        queue.scheduleAfter(
                random.nextInt((int) TICK_INTERVAL_MICROS), () -> queue.scheduleEvery(TICK_INTERVAL_MICROS, vm::tick));
        queue.scheduleAfter(
                random.nextInt((int) LOAD_INTERVAL_MICROS),
                () -> queue.scheduleEvery(LOAD_INTERVAL_MICROS, vm::reportLoad));
    }

    /** Stops an entry VM abruptly, as in a crash. */
    void stopVm(MeteredVm vm) {
        vm.up = false;
        vmsByDataCentre.get(vm.identity.dataCentre()).remove(vm);
        vmsByStart.remove(vm.identity.self());
    }

    private void deliverVmList() {
        List<VmId> live = vmsByStart.keySet().stream().map(VmStart::vm).sorted().toList();
        List.copyOf(vmsByStart.values()).forEach(v -> v.deliver(new ControlEvent.VmListRead(live, List.of())));
    }

    /** Publishes a configuration that gives every server the same number of slots. */
    void publish(int slots) {
        LogOffset base = configurationOffset;
        configurationOffset = new LogOffset(log.size());
        RecordHeader header = new RecordHeader(new WriterId("operator"), operatorSequence++, "operator", 0);
        appendNow(encodeRecord(header, new LogRecord.ConfigurationPublished(base, size.configuration(slots))));
    }

    LogOffset configurationOffset() {
        return configurationOffset;
    }

    private void appendNow(byte[] data) {
        log.add(data);
        appends++;
        appendedBytes += data.length;
    }

    void append(MeteredVm vm, ControlAction.Append append) {
        RecordHeader header = new RecordHeader(vm.identity.writer(), append.sequence(), "vm", 0);
        List<byte[]> data = new ArrayList<>();
        vm.meter.measure(() -> data.add(encodeRecord(header, append.record())));
        queue.scheduleAfter(LOG_LATENCY_MICROS, () -> appendNow(data.get(0)));
    }

    void readLog(MeteredVm vm, LogOffset from) {
        vm.meter.logReads++;
        queue.scheduleAfter(LOG_LATENCY_MICROS, () -> {
            int first = Math.min((int) from.value(), log.size());
            int last = Math.min(first + MAX_RECORDS_PER_READ, log.size());
            List<LogEntry> batch = new ArrayList<>();
            for (int i = first; i < last; i++) {
                LogOffset offset = new LogOffset(i);
                byte[] data = log.get(i);
                vm.meter.logBytes += data.length;
                vm.meter.measure(() -> batch.add(codec.decode(offset, data)));
            }
            vm.deliver(new ControlEvent.LogRead(batch, new LogOffset(0), new LogOffset(log.size() - 1L)));
        });
    }

    void send(MeteredVm from, ControlAction.SendToPeer send) {
        List<byte[]> data = new ArrayList<>();
        from.meter.measure(() -> data.add(frames.encode(send.message())));
        byte[] frame = data.get(0);
        from.meter.recordSent(frame.length);
        queue.scheduleAfter(
                LINK_LATENCY_MICROS, () -> receive(from, send.addressee().start(), frame));
    }

    private void receive(MeteredVm from, VmStart addressee, byte[] frame) {
        MeteredVm to = vmsByStart.get(addressee);
        if (to == null) {
            return;
        }
        to.meter.recordReceived(frame.length);
        List<ControlEvent> event = new ArrayList<>();
        to.meter.measure(
                () -> event.add(new ControlEvent.PeerMessageReceived(from.identity.self(), frames.decode(frame))));
        to.deliver(event.get(0));
    }

    void sendOrder(MeteredVm vm, ServerOrder order) {
        vm.meter.orders++;
        vm.meter.measure(() -> vm.meter.orderBytes += ServerOrderSender.encode(order).length);
        if (lostServers.contains(order.server())) {
            queue.scheduleAfter(
                    ORDER_TIMEOUT_MICROS,
                    () -> vm.deliver(new ControlEvent.ServerOrderFailed(order.server(), order.sequence())));
        } else {
            queue.scheduleAfter(
                    2 * LINK_LATENCY_MICROS,
                    () -> vm.deliver(new ControlEvent.ServerOrderAnswered(order.server(), order.sequence(), true)));
        }
    }

    /** Stops a backend server; request traffic detects the loss after {@link #LOSS_DETECTION_MICROS}. */
    void stopServer(ServerId server) {
        lostServers.add(server);
        queue.scheduleAfter(LOSS_DETECTION_MICROS, () -> detectedLostServers.add(server));
    }

    Set<ServerId> detectedLostServers() {
        return detectedLostServers;
    }

    /** Returns all running VMs, ordered by data centre and start. */
    List<MeteredVm> allVms() {
        return vmsByDataCentre.values().stream().flatMap(List::stream).toList();
    }

    /** Returns the leader of the first data centre. */
    MeteredVm leader() {
        return vmsByDataCentre.get(size.dataCentreId(0)).stream()
                .filter(MeteredVm::leads)
                .max(Comparator.comparing(v -> v.plan().term()))
                .orElseThrow(() -> new IllegalStateException("no leader in deployment of size " + size));
    }
}
