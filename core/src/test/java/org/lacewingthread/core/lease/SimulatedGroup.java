package org.lacewingthread.core.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.lacewingthread.core.control.ControlAction;
import org.lacewingthread.core.control.ControlEvent;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.PeerMessage;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.log.RosterMember;
import org.lacewingthread.core.ownership.OwnershipCoordinator;

/** Entry VMs of one data centre with simulated time, network and log, in which tests can inject faults. */
final class SimulatedGroup {
    static final DataCentreId MARAS = new DataCentreId("maras");
    private static final long TICK_MICROS = 20_000;
    private static final long PROBE_MICROS = 150_000;
    private static final long LIST_MICROS = 500_000;

    /** A directed connection on which all messages are lost. */
    record Cut(String from, String to) {}

    private record Step(long atMicros, long order, Runnable action) {}

    final Random random;
    final SimulatedLog log = new SimulatedLog();
    final List<SimulatedVm> vms = new ArrayList<>();
    final Set<Cut> cuts = new HashSet<>();
    final Set<String> vmsWithoutLogAccess = new HashSet<>();
    final Set<String> listedVms = new HashSet<>();
    final SafetyChecks checks = new SafetyChecks(this);
    Set<ProtocolRule> rules = EnumSet.allOf(ProtocolRule.class);
    Function<Term, OwnershipCoordinator> coordinatorFactory = TestCoordinator::new;
    SimulatedServers servers;
    ControlSettings settings = ControlSettings.DEFAULT;
    double lossRatio;
    double stallRatio;
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMicros).thenComparingLong(Step::order));
    private long nowMicros;
    private long nextOrder;
    private long nextStart;

    SimulatedGroup(long seed) {
        random = new Random(seed);
        scheduleRepeatedly(LIST_MICROS, () -> true, this::readVmList);
        scheduleRepeatedly(PROBE_MICROS, () -> servers != null, () -> servers.servers
                .values()
                .forEach(servers::report));
    }

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / 1_000;
    }

    void schedule(long micros, Runnable action) {
        steps.add(new Step(nowMicros + micros, nextOrder++, action));
    }

    private void scheduleRepeatedly(long micros, java.util.function.BooleanSupplier isActive, Runnable action) {
        schedule(micros, () -> {
            if (isActive.getAsBoolean()) {
                action.run();
                scheduleRepeatedly(micros, isActive, action);
            }
        });
    }

    /** Starts a process on a VM without stopping an earlier process on it. */
    SimulatedVm start(String name, double clockRate) {
        SimulatedVm vm = new SimulatedVm(this, name, nextStart++, clockRate);
        vms.add(vm);
        listedVms.add(name);
        schedule(random.nextInt((int) TICK_MICROS), () -> scheduleRepeatedly(TICK_MICROS, () -> !vm.stopped, vm::tick));
        return vm;
    }

    /** Stops a process. After two seconds its VM is no longer listed, unless another process runs on it. */
    void stop(SimulatedVm vm) {
        vm.stopped = true;
        schedule(2_000_000, () -> {
            if (running().stream().noneMatch(v -> v.name.equals(vm.name))) {
                listedVms.remove(vm.name);
            }
        });
    }

    List<SimulatedVm> running() {
        return vms.stream().filter(v -> !v.stopped).toList();
    }

    void runFor(long millis) {
        long endMicros = nowMicros + millis * 1_000;
        while (!steps.isEmpty() && steps.peek().atMicros() <= endMicros) {
            Step step = steps.poll();
            nowMicros = step.atMicros();
            step.action().run();
        }
        nowMicros = endMicros;
    }

    /** Runs until a condition holds. Returns the milliseconds that this took, or -1 if the limit was reached first. */
    long runUntil(long limitMillis, java.util.function.BooleanSupplier condition) {
        long startMillis = nowMillis();
        while (!condition.getAsBoolean()) {
            if (nowMillis() - startMillis >= limitMillis) {
                return -1;
            }
            runFor(5);
        }
        return nowMillis() - startMillis;
    }

    /** Returns the first VM that leads, or empty if none does. */
    Optional<SimulatedVm> leader() {
        return running().stream().filter(v -> v.leadingTerm().isPresent()).findFirst();
    }

    void clearFaults() {
        cuts.clear();
        vmsWithoutLogAccess.clear();
        log.unavailable = false;
        log.slow = false;
        log.lossRatio = 0;
        log.lateRatio = 0;
        lossRatio = 0;
        stallRatio = 0;
    }

    private void readVmList() {
        List<VmId> live = listedVms.stream().sorted().map(VmId::new).toList();
        running().stream()
                .filter(v -> !vmsWithoutLogAccess.contains(v.name))
                .forEach(v -> v.deliver(new ControlEvent.VmListRead(live, List.of())));
    }

    void send(SimulatedVm from, RosterMember to, PeerMessage message) {
        String target = to.start().vm().value();
        if (random.nextDouble() < lossRatio || cuts.contains(new Cut(from.name, target))) {
            return;
        }
        long delayMicros = 300L + random.nextInt(random.nextInt(20) == 0 ? 60_000 : 3_000);
        ControlEvent event = new ControlEvent.PeerMessageReceived(from.identity.self(), message);
        schedule(delayMicros, () -> running().stream()
                .filter(v -> v.name.equals(target))
                .filter(v -> v.identity.self().equals(to.start()) || message instanceof PeerMessage.MembershipRequested)
                .forEach(v -> v.deliver(event)));
    }

    void readLog(SimulatedVm vm, ControlAction.ReadLog read) {
        if (log.unavailable || vmsWithoutLogAccess.contains(vm.name)) {
            schedule(20_000, () -> vm.deliver(new ControlEvent.LogUnavailable()));
            return;
        }
        schedule(logDelayMicros(), () -> {
            ControlEvent answer = log.read(read.from());
            schedule(logDelayMicros(), () -> vm.deliver(answer));
        });
    }

    void append(SimulatedVm vm, ControlAction.Append append) {
        boolean refused = log.unavailable || vmsWithoutLogAccess.contains(vm.name);
        schedule(logDelayMicros() + appendDelayMicros(), () -> {
            if (refused) {
                vm.deliver(new ControlEvent.LogUnavailable());
                vm.deliver(new ControlEvent.AppendRefused(append.sequence()));
            } else if (random.nextDouble() >= log.lossRatio) {
                log.append(vm.header(append.sequence()), append.record());
            }
        });
    }

    /** Returns by how much an unanswered append is late; does not change the random sequence without this fault. */
    private long appendDelayMicros() {
        boolean late = log.lateRatio > 0 && random.nextDouble() < log.lateRatio;
        return late ? 1_000L * random.nextInt(SimulatedLog.LATE_MILLIS) : 0;
    }

    private long logDelayMicros() {
        return log.slow ? 100_000 + random.nextInt(900_000) : 1_000 + random.nextInt(4_000);
    }
}
