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

/** Entry VMs, a log and backend servers in virtual time; everything between VMs crosses as encoded bytes. */
final class MeteredDeployment {
    static final long IN_FLIGHT_MICROS = 5_000;
    private static final long TICK_MICROS = 25_000;
    private static final long MEASURE_MICROS = 2_000_000;
    private static final long VM_LIST_MICROS = 1_000_000;
    private static final long LINK_MICROS = 1_000;
    private static final long LOG_MICROS = 5_000;
    private static final long ORDER_TIMEOUT_MICROS = 250_000;
    private static final long NOTICE_MICROS = 300_000;
    private static final int MAX_RECORD_BYTES = 64 << 20;
    private static final int READ_RECORDS = 1_000;
    private static final int PEER_PORT = 7_000;

    final EventQueue queue = new EventQueue();
    final Shape shape;
    final Map<DataCentreId, List<MeteredVm>> vms = new TreeMap<>();
    long appends;
    long appendedBytes;
    private final Random random = new Random(1);
    private final LogRecordCodec codec = new LogRecordCodec(MAX_RECORD_BYTES);
    private final PeerFrameCodec frames = new PeerFrameCodec(new EntryBytes());
    private final List<byte[]> log = new ArrayList<>();
    private final Map<VmStart, MeteredVm> byStart = new HashMap<>();
    private final Set<ServerId> lost = new HashSet<>();
    private final Set<ServerId> noticedLost = new HashSet<>();
    private List<RosterMember> seeds = List.of();
    private LogOffset configurationOffset = LogOffset.NONE;
    private long operatorSequence;
    private int nextPort = PEER_PORT;

    MeteredDeployment(Shape shape) {
        this.shape = shape;
        publish(2);
        for (int d = 0; d < shape.dataCentres(); d++) {
            vms.put(shape.dataCentre(d), new ArrayList<>());
            for (int i = 0; i < shape.vms(); i++) {
                start(shape.dataCentre(d), i);
            }
        }
        queue.every(VM_LIST_MICROS, this::readVmList);
    }

    private final class EntryBytes implements LogEntryCodec {
        @Override
        public byte[] encode(LogEntry entry) {
            return bytes(entry.header(), entry.body());
        }

        @Override
        public LogEntry decode(LogOffset offset, byte[] data) {
            return codec.decode(offset, data);
        }
    }

    private byte[] bytes(RecordHeader header, LogRecord body) {
        try {
            return codec.encode(header, body);
        } catch (LogRecordCodec.RecordTooLargeException e) {
            throw new IllegalStateException("record of " + header.writer() + " is larger than " + MAX_RECORD_BYTES, e);
        }
    }

    /** Starts an entry VM. */
    void start(DataCentreId dataCentre, int index) {
        VmStart start = new VmStart(new VmId(dataCentre + "-vm-" + index), random.nextInt(Integer.MAX_VALUE));
        RosterMember member = new RosterMember(start, "10.0.0.1", nextPort++);
        List<RosterMember> known = new ArrayList<>(seeds);
        known.add(member);
        if (seeds.size() < shape.dataCentres()) {
            seeds = List.copyOf(known);
        }
        MeteredVm vm = new MeteredVm(
                this,
                new EntryVmIdentity(
                        dataCentre, member, new WriterId(start.vm().value() + "-" + start.startNumber()), known));
        byStart.put(start, vm);
        vms.get(dataCentre).add(vm);
        queue.after(random.nextInt((int) TICK_MICROS), () -> queue.every(TICK_MICROS, vm::tick));
        queue.after(random.nextInt((int) MEASURE_MICROS), () -> queue.every(MEASURE_MICROS, vm::measure));
    }

    /** Ends an entry VM without warning. */
    void stop(MeteredVm vm) {
        vm.up = false;
        vms.get(vm.identity.dataCentre()).remove(vm);
        byStart.remove(vm.identity.self());
    }

    private void readVmList() {
        List<VmId> live = byStart.keySet().stream().map(VmStart::vm).sorted().toList();
        List.copyOf(byStart.values()).forEach(v -> v.deliver(new ControlEvent.VmListRead(live, List.of())));
    }

    /** Publishes a configuration in which every server has a number of slots. */
    void publish(int slots) {
        LogOffset base = configurationOffset;
        configurationOffset = new LogOffset(log.size());
        RecordHeader header = new RecordHeader(new WriterId("operator"), operatorSequence++, "operator", 0);
        appendNow(bytes(header, new LogRecord.ConfigurationPublished(base, shape.configuration(slots))));
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
        vm.meter.run(() -> data.add(bytes(header, append.record())));
        queue.after(LOG_MICROS, () -> appendNow(data.get(0)));
    }

    void readLog(MeteredVm vm, LogOffset from) {
        vm.meter.logReads++;
        queue.after(LOG_MICROS, () -> {
            int first = Math.min((int) from.value(), log.size());
            int last = Math.min(first + READ_RECORDS, log.size());
            List<LogEntry> batch = new ArrayList<>();
            for (int i = first; i < last; i++) {
                LogOffset offset = new LogOffset(i);
                byte[] data = log.get(i);
                vm.meter.logBytes += data.length;
                vm.meter.run(() -> batch.add(codec.decode(offset, data)));
            }
            vm.deliver(new ControlEvent.LogRead(batch, new LogOffset(0), new LogOffset(log.size() - 1L)));
        });
    }

    void send(MeteredVm from, ControlAction.SendToPeer send) {
        List<byte[]> data = new ArrayList<>();
        from.meter.run(() -> data.add(frames.encode(send.message())));
        byte[] frame = data.get(0);
        from.meter.sent(frame.length);
        queue.after(LINK_MICROS, () -> arrive(from, send.addressee().start(), frame));
    }

    private void arrive(MeteredVm from, VmStart addressee, byte[] frame) {
        MeteredVm to = byStart.get(addressee);
        if (to == null) {
            return;
        }
        to.meter.received(frame.length);
        List<ControlEvent> event = new ArrayList<>();
        to.meter.run(() -> event.add(new ControlEvent.PeerMessageReceived(from.identity.self(), frames.decode(frame))));
        to.deliver(event.get(0));
    }

    void order(MeteredVm vm, ServerOrder order) {
        vm.meter.orders++;
        vm.meter.run(() -> vm.meter.orderBytes += ServerOrderSender.encode(order).length);
        if (lost.contains(order.server())) {
            queue.after(
                    ORDER_TIMEOUT_MICROS,
                    () -> vm.deliver(new ControlEvent.ServerOrderFailed(order.server(), order.sequence())));
        } else {
            queue.after(
                    2 * LINK_MICROS,
                    () -> vm.deliver(new ControlEvent.ServerOrderAnswered(order.server(), order.sequence(), true)));
        }
    }

    /** Loses a server; traffic notices a little later. */
    void lose(ServerId server) {
        lost.add(server);
        queue.after(NOTICE_MICROS, () -> noticedLost.add(server));
    }

    Set<ServerId> noticedLost() {
        return noticedLost;
    }

    /** Returns every VM that runs, in the order of its data centre and start. */
    List<MeteredVm> all() {
        return vms.values().stream().flatMap(List::stream).toList();
    }

    /** Returns the leader of the first data centre. */
    MeteredVm leader() {
        return vms.get(shape.dataCentre(0)).stream()
                .filter(MeteredVm::leads)
                .max(Comparator.comparing(v -> v.plan().term()))
                .orElseThrow(() -> new IllegalStateException("no leader in shape " + shape));
    }
}
