package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

/**
 * Simulates coordinators, servers and a store in virtual time. Any call may be slow, be lost, or take effect without
 * an answer, as the functions {@link #appendFate}, {@link #grantFate} and {@link #releaseFate} decide.
 */
final class RangeSimulation {
    static final ServiceId SERVICE = new ServiceId("orders");
    static final RangeLeaseTimes TIMES = new RangeLeaseTimes(4_000, 1_000, 10_000, 3_000, 0.03);
    static final long CALL_TIMEOUT_MILLIS = GrantFate.TIMEOUT_MILLIS;
    static final int[] CHECKED_KEYS = {0, 1_000, 8_191, 20_000, 32_768, 40_000, 50_000, 65_535};
    private static final long STEP_MILLIS = 10;
    /** How often a VM that the store does not answer asks the leader for the table. */
    private static final long TABLE_REQUEST_INTERVAL_MILLIS = 500;
    /** Store silence from which a VM asks the leader for the table. */
    private static final long MAX_STORE_SILENCE_MILLIS = 1_500;
    /** How often a VM calls a server, be it for a caller or to find out whether servers answer. */
    private static final long SERVER_CALL_INTERVAL_MILLIS = 250;
    /** Time without any answer of a server from which a VM takes its own links for cut. */
    private static final long LINKS_CUT_AFTER_MILLIS = 700;
    /** How often a VM reports to the leader, which answers, and joins the group in which the store picks a candidate. */
    private static final long REPORT_INTERVAL_MILLIS = 500;

    final RandomGenerator random;
    final Map<String, SimulatedVm> vms = new TreeMap<>();
    final SimulatedStore store = new SimulatedStore();
    final Set<String> disconnectedFromStore = new HashSet<>();
    /** VMs that take no steps, although they still receive answers. */
    final Set<String> stoppedVms = new HashSet<>();
    /** VMs that exchange no messages with other VMs. */
    final Set<String> isolatedVms = new HashSet<>();

    final Map<ServerStart, SimulatedKeyServer> servers = new TreeMap<>();
    final Set<ServerStart> ready = new HashSet<>();
    final Set<ServerStart> registered = new HashSet<>();
    /** Capacities of servers; others have 2. */
    final Map<ServerStart, Double> capacities = new TreeMap<>();

    final Set<ServerStart> unreachable = new HashSet<>();
    /** Servers that one VM can't reach, by the name of the VM. */
    final Map<String, Set<ServerStart>> unreachableFrom = new TreeMap<>();
    /** Ended servers at whose address another one answers. */
    final Set<ServerStart> replaced = new HashSet<>();

    /** Adds evacuations to the view of the servers. */
    UnaryOperator<ServiceView> evacuation = view -> view;

    final KeyLoad load = new KeyLoad(6_000, 2_000);
    /** Keys that two servers held at the same time. */
    final List<String> violations = new ArrayList<>();
    /** Grants that were sent while another server might still hold or get a key. */
    final List<String> prematureGrants = new ArrayList<>();

    /** Fates of appends, by the name of the VM; without one, the usual answer follows. */
    BiFunction<String, CoordinatorAction.RecordTable, Optional<AppendFate>> appendFate = (vm, call) -> Optional.empty();

    BiFunction<String, CoordinatorAction.Grant, Optional<GrantFate>> grantFate = (vm, call) -> Optional.empty();
    BiFunction<String, CoordinatorAction.Release, Optional<ReleaseFate>> releaseFate = (vm, call) -> Optional.empty();
    long nowMillis = 1_000;
    /** The VM that the store picks as the next leader, unless {@link #vmsReport}. */
    String leaderCandidate = "a";
    /** Whether VMs report to the leader, and the store picks the first VM whose links are not cut as candidate. */
    boolean vmsReport;

    /** Whether a server that does not run refuses connections, so that grants are not sent; otherwise they are lost. */
    boolean refusesConnections;

    double lateGrantRatio;
    /** Maximum random delay of a grant, which reorders calls; appends to the store are always delayed by it. */
    int maxJitterMillis;
    /** Time until the requests that run on released keys have ended. */
    long releaseMillis = 100;

    private final SimulatedNetwork network = new SimulatedNetwork(this);
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    private long nextTaskNumber;

    private record ScheduledTask(long atMillis, long order, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    RangeSimulation(RandomGenerator random) {
        this.random = random;
    }

    void addVm(String name) {
        vms.put(name, new SimulatedVm(name, random.nextLong(1L << 40), nowMillis));
    }

    ServerStart addServer(String name, long startedMillis) {
        ServerStart start = new ServerStart(new ServerId(name), startedMillis);
        servers.put(start, new SimulatedKeyServer(start));
        ready.add(start);
        registered.add(start);
        return start;
    }

    /** Lets a VM stand still; its clock is right when it goes on. */
    void pause(String vm, long millis) {
        vms.get(vm).pausedUntilMillis = nowMillis + millis;
    }

    RangeTable recorded() {
        return store.newest();
    }

    void runFor(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            runStep();
        }
    }

    /** Runs until a condition holds, for a limited time; returns whether it holds. */
    boolean runUntil(BooleanSupplier condition, long maxMillis) {
        long endMillis = nowMillis + maxMillis;
        while (!condition.getAsBoolean() && nowMillis < endMillis) {
            runStep();
        }
        return condition.getAsBoolean();
    }

    private void runStep() {
        nowMillis += STEP_MILLIS;
        while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atMillis() <= nowMillis) {
            scheduledTasks.poll().task().run();
        }
        vms.values().forEach(this::stepVm);
        checkForDoubleHolders();
    }

    void schedule(long delayMillis, Runnable task) {
        scheduledTasks.add(new ScheduledTask(nowMillis + delayMillis, nextTaskNumber++, task));
    }

    private void stepVm(SimulatedVm vm) {
        if (vm.isPaused(nowMillis) || stoppedVms.contains(vm.name)) {
            return;
        }
        if (!vm.stepsBeforeWaitingAnswers) {
            vm.handleWaitingAnswers();
        }
        RangeCoordinator coordinator = vm.coordinator;
        observeServers(vm);
        if (vmsReport && nowMillis % REPORT_INTERVAL_MILLIS == 0) {
            report(vm);
        }
        coordinator.setLeaderCandidate(vm.name.equals(leaderCandidate) && !disconnectedFromStore.contains(vm.name));
        readTable(vm);
        Map<ServerStart, Double> capacity = new TreeMap<>();
        ready.forEach(server -> capacity.put(server, capacities.getOrDefault(server, 2.0)));
        ServiceView view = new ServiceView(capacity, Set.copyOf(registered), load.profile(nowMillis));
        announceTerm(vm);
        for (CoordinatorAction action : coordinator.step(Map.of(SERVICE, evacuation.apply(view)), nowMillis)) {
            execute(vm, coordinator, action);
        }
        vm.handleWaitingAnswers();
    }

    /** Lets a VM learn from calls whether servers answer it. */
    private void observeServers(SimulatedVm vm) {
        if (nowMillis % SERVER_CALL_INTERVAL_MILLIS != 0) {
            return;
        }
        if (servers.keySet().stream().anyMatch(server -> network.reaches(vm.name, server))) {
            vm.lastServerAnswerMillis = nowMillis;
            vm.coordinator.onServerAnswer(nowMillis);
        }
        vm.linksCut = nowMillis - vm.lastServerAnswerMillis >= LINKS_CUT_AFTER_MILLIS;
        vm.coordinator.setLinksImpaired(vm.linksCut);
    }

    private void report(SimulatedVm vm) {
        boolean candidateLeft = vms.get(leaderCandidate).linksCut || stoppedVms.contains(leaderCandidate);
        if (candidateLeft && !vm.linksCut) {
            leaderCandidate = vm.name;
        }
        vm.coordinator
                .table()
                .leader()
                .map(leader -> vms.get(leader.process().vm().value()))
                .filter(leader -> exchangeMessages(vm, leader) && leader.coordinator.isLeading())
                .ifPresent(leader -> vm.coordinator.onLeaderAnswer(
                        leader.coordinator.storeSilenceMillis(nowMillis), leader.linksCut, nowMillis));
    }

    private void readTable(SimulatedVm vm) {
        RangeCoordinator coordinator = vm.coordinator;
        if (disconnectedFromStore.contains(vm.name)) {
            requestTableFromLeader(vm);
            return;
        }
        RangeTable table = store.newest();
        LogPosition position = store.position();
        long askedAtMillis = nowMillis;
        vm.firstUse.onEraStated(position.era(), nowMillis);
        if (vm.refusedByStore) {
            return;
        }
        if (vm.readDelayMillis == 0) {
            SimulatedVm.read(coordinator, table, position, askedAtMillis, nowMillis);
        } else if (!vm.readPending) {
            vm.readPending = true;
            schedule(vm.readDelayMillis, () -> {
                vm.readPending = false;
                if (!disconnectedFromStore.contains(vm.name)) {
                    vm.receive(
                            () -> SimulatedVm.read(coordinator, table, position, askedAtMillis, nowMillis), nowMillis);
                }
            });
        }
    }

    private void requestTableFromLeader(SimulatedVm vm) {
        boolean asks = nowMillis % TABLE_REQUEST_INTERVAL_MILLIS == 0
                && !vm.coordinator.isLeading()
                && vm.coordinator.storeSilenceMillis(nowMillis) > MAX_STORE_SILENCE_MILLIS;
        if (!asks) {
            return;
        }
        vm.coordinator
                .table()
                .leader()
                .map(leader -> vms.get(leader.process().vm().value()))
                .filter(leader -> exchangeMessages(vm, leader) && leader.coordinator.isLeading())
                .map(leader -> leader.coordinator)
                .filter(RangeCoordinator::isTableRecorded)
                .ifPresent(leader -> vm.coordinator.onTable(leader.table(), leader.position(), nowMillis));
    }

    private void announceTerm(SimulatedVm vm) {
        for (Leader former : vm.coordinator.formerLeadersToNotify()) {
            SimulatedVm formerVm = vms.get(former.process().vm().value());
            if (exchangeMessages(vm, formerVm) && random.nextInt(4) == 0) {
                formerVm.coordinator.onNewTerm(vm.coordinator.table().term());
                if (!formerVm.coordinator.isLeading()) {
                    vm.coordinator.onFormerLeaderStopped(
                            former.process(), vm.coordinator.table().term(), nowMillis);
                }
            }
        }
    }

    private boolean exchangeMessages(SimulatedVm sender, SimulatedVm receiver) {
        return !stoppedVms.contains(receiver.name)
                && !receiver.isPaused(nowMillis)
                && !isolatedVms.contains(sender.name)
                && !isolatedVms.contains(receiver.name);
    }

    private void execute(SimulatedVm vm, RangeCoordinator coordinator, CoordinatorAction action) {
        if (action instanceof CoordinatorAction.RecordTable record) {
            sendAppend(vm, coordinator, record);
        } else if (action instanceof CoordinatorAction.Grant grant) {
            GrantFate fate = grantFate.apply(vm.name, grant).orElseGet(() -> usualGrant(vm.name, grant));
            network.send(
                    vm.name,
                    grant,
                    fate,
                    outcome ->
                            vm.receive(() -> coordinator.onGrantAnswer(grant.call(), outcome, nowMillis), nowMillis));
        } else if (action instanceof CoordinatorAction.Release release) {
            ReleaseFate fate =
                    releaseFate.apply(vm.name, release).orElseGet(() -> ReleaseFate.answered(2 + releaseMillis));
            network.send(
                    vm.name,
                    release,
                    fate,
                    outcome -> vm.receive(
                            () -> coordinator.onReleaseAnswer(
                                    release.call(),
                                    outcome,
                                    outcome == ReleaseOutcome.RELEASED ? Optional.of("token") : Optional.empty(),
                                    nowMillis),
                            nowMillis));
        }
    }

    private GrantFate usualGrant(String vm, CoordinatorAction.Grant grant) {
        long delayMillis = 2L + (maxJitterMillis == 0 ? 0 : random.nextInt(maxJitterMillis));
        boolean late = random.nextDouble() < lateGrantRatio;
        if (!network.reaches(vm, grant.server())) {
            return GrantFate.lost(CALL_TIMEOUT_MILLIS);
        }
        return late
                ? GrantFate.appliedWithoutAnswer(delayMillis, 2_000 + random.nextInt(10_000), CALL_TIMEOUT_MILLIS)
                : GrantFate.answered(delayMillis, delayMillis + 2);
    }

    private void sendAppend(SimulatedVm vm, RangeCoordinator coordinator, CoordinatorAction.RecordTable record) {
        long sentMillis = nowMillis;
        AppendFate fate = appendFate
                .apply(vm.name, record)
                .orElseGet(() -> AppendFate.answered(5L + maxJitterMillis, 10L + maxJitterMillis));
        if (disconnectedFromStore.contains(vm.name)) {
            fate = new AppendFate(Optional.empty(), AppendFate.Reply.NONE, 10L + maxJitterMillis);
        }
        AppendFate.Reply reply = fate.reply();
        long replyMillis = sentMillis + fate.repliedAfterMillis();
        fate.carriedOutAfterMillis()
                .ifPresent(delayMillis -> schedule(delayMillis, () -> {
                    AppendResult answer = resultOf(record);
                    if (reply == AppendFate.Reply.RESULT) {
                        schedule(
                                Math.max(5, replyMillis - nowMillis),
                                () -> receiveAppendAnswer(vm, coordinator, record, answer, sentMillis));
                    }
                }));
        if (reply != AppendFate.Reply.RESULT) {
            AppendResult answer = reply == AppendFate.Reply.NONE ? AppendResult.unknown() : AppendResult.refused();
            schedule(fate.repliedAfterMillis(), () -> receive(vm, coordinator, record, answer));
        }
    }

    /** Carries out an append; an answer of another era than the expected end's tells nothing. */
    private AppendResult resultOf(CoordinatorAction.RecordTable record) {
        long era = store.position().era();
        AppendResult result = store.append(record).map(AppendResult::recorded).orElse(AppendResult.refused());
        return era == record.table().era() ? result : AppendResult.unknown();
    }

    /** Delivers the answer of the store, unless the VM was cut off from it meanwhile. */
    private void receiveAppendAnswer(
            SimulatedVm vm,
            RangeCoordinator coordinator,
            CoordinatorAction.RecordTable record,
            AppendResult answer,
            long sentMillis) {
        if (disconnectedFromStore.contains(vm.name)) {
            long timeoutMillis = Math.max(0, sentMillis + AppendFate.TIMEOUT_MILLIS - nowMillis);
            schedule(timeoutMillis, () -> receive(vm, coordinator, record, AppendResult.unknown()));
        } else {
            receive(vm, coordinator, record, answer);
        }
    }

    private void receive(
            SimulatedVm vm, RangeCoordinator coordinator, CoordinatorAction.RecordTable record, AppendResult answer) {
        vm.receive(() -> coordinator.onRecorded(record, answer, nowMillis), nowMillis);
    }

    private void checkForDoubleHolders() {
        for (int key : CHECKED_KEYS) {
            List<ServerStart> holders = servers.values().stream()
                    .filter(server -> server.holds(key, nowMillis))
                    .map(server -> server.start)
                    .toList();
            if (holders.size() > 1) {
                violations.add("at " + nowMillis + " ms key " + key + " is held by " + holders);
            }
        }
    }

    /** Returns how many of the checked keys are held by the owner in the recorded table. */
    long servedKeys() {
        long served = 0;
        for (int key : CHECKED_KEYS) {
            Optional<RangeOwnership> ownership = recorded().find(SERVICE, key);
            boolean holds = ownership.isPresent()
                    && !ownership.get().isMoving()
                    && servers.get(ownership.get().owner()).holds(key, nowMillis);
            served += holds ? 1 : 0;
        }
        return served;
    }

    /** Returns how many of the checked keys are held by a server. */
    long heldKeys() {
        return IntStream.of(CHECKED_KEYS)
                .filter(key -> servers.values().stream().anyMatch(server -> server.holds(key, nowMillis)))
                .count();
    }

    int checkedKeys() {
        return CHECKED_KEYS.length;
    }
}
