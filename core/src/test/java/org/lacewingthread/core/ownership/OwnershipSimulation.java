package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerCondition;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.control.ServerOrder;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.Term;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.LogRecord;

/**
 * Simulation of one data centre in virtual time: a coordinator, entry VMs, backend servers and a log. Every
 * tick checks that no shard has two servers and no server two dispatchers; {@link #violations} collects failures.
 */
final class OwnershipSimulation {
    static final DataCentreId LOCAL_DATA_CENTRE = new DataCentreId("maras");
    static final ApplicationId LEDGER = new ApplicationId("ledger");
    static final int SHARDS = 64;
    static final long TICK_MILLIS = 10;
    private static final int LATE_APPEND_MILLIS = 5_000;

    final ControlSettings settings = ControlSettings.DEFAULT;
    final Random random;
    final FakeLog log;
    final Map<ServerId, FakeServer> servers = new TreeMap<>();
    final Map<ServerId, ServerCondition> conditions = new HashMap<>();
    final Map<ServerId, ServerLoad> loads = new HashMap<>();
    final List<FakeVm> vms = new ArrayList<>();
    final Set<VmStart> leaving = new TreeSet<>();
    final List<String> auditNotes = new ArrayList<>();
    final List<LogRecord> records = new ArrayList<>();
    final List<ServerOrder> orders = new ArrayList<>();
    final Set<String> violations = new TreeSet<>();
    final Map<ShardId, Long> unservedMillis = new TreeMap<>();
    private final PlanChecker planChecker;
    private final List<ScheduledAction> pending = new ArrayList<>();
    private final Map<ServerId, Long> unanswered = new HashMap<>();
    private final Set<SafetyRule> rules;
    private final List<ServerSpec> specs;
    boolean logReachable = true;
    double lostAnswerRatio;
    /** Ratio of appends that are not answered and take effect after up to {@link #LATE_APPEND_MILLIS}. */
    double lateAppendRatio;

    /** Whether new terms begin without a claim, so that late appends of the last term stay valid. */
    boolean startsTermsWithoutClaim;

    RoutePlan plan;
    long nowMillis = 1_000;
    private LeaseOwnershipCoordinator coordinator;
    private Term term;
    private long predecessorEndMillis = 1_000;
    private Map<VmStart, Optional<RoutePlan>> reportedPlans = Map.of();
    private long leaderFromMillis;
    private long terms;
    private long lastAppendMillis = Long.MIN_VALUE;

    private record ScheduledAction(long atMillis, Runnable action) {}

    OwnershipSimulation(long seed, int serverCount, boolean[] checks, int vmCount, Set<SafetyRule> rules) {
        this.random = new Random(seed);
        this.rules = rules;
        this.specs = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            ServerSpec spec = server("s" + i, checks[i % checks.length]);
            specs.add(spec);
            servers.put(spec.id(), new FakeServer(0.98 + 0.04 * random.nextDouble()));
        }
        ApplicationSpec ledger =
                new ApplicationSpec(LEDGER, SHARDS, PlacementProfile.MINIMISE_UNAVAILABLE, List.of(), List.of());
        this.log = new FakeLog(LOCAL_DATA_CENTRE, new RoutingConfiguration(List.of(ledger), specs));
        for (int i = 0; i < vmCount; i++) {
            vms.add(new FakeVm(new VmStart(new VmId("vm" + i), i), settings));
        }
        planChecker = new PlanChecker(log, violations);
        startTerm(0);
    }

    /** Returns a simulation of five servers and three VMs without faults. */
    static OwnershipSimulation withoutFaults(boolean... checks) {
        return new OwnershipSimulation(7, 5, checks, 3, EnumSet.allOf(SafetyRule.class));
    }

    static ServerSpec server(String id, boolean checksTokens) {
        return new ServerSpec(
                new ServerId(id), LOCAL_DATA_CENTRE, "127.0.0.1", 8080, List.of(), 2, 50, checksTokens, false);
    }

    /** Replaces the coordinator; the new one leads after a gap, and records not yet applied are dropped. */
    void startTerm(long gapMillis) {
        log.applyUntil(nowMillis);
        terms++;
        if (startsTermsWithoutClaim) {
            log.startTermWithoutClaim();
            term = new Term(new LogOffset(100), terms, vms.get(0).start);
        } else {
            log.startTerm();
            term = new Term(new LogOffset(100 * terms), 0, vms.get(0).start);
        }
        lastAppendMillis = Long.MIN_VALUE;
        coordinator = new LeaseOwnershipCoordinator(settings, rules);
        plan = null;
        unanswered.clear();
        leaderFromMillis = nowMillis + gapMillis;
        reportedPlans = null;
    }

    private void startLeading() {
        long dispatchMillis =
                settings.lengthenedByClockMargin(settings.dispatchLeaseMillis()) + settings.startByMillis();
        long serverMillis = settings.lengthenedByClockMargin(settings.serverLeaseMillis() + settings.startByMillis());
        predecessorEndMillis = terms == 1 ? nowMillis : nowMillis + Math.max(dispatchMillis, serverMillis);
        reportedPlans = new HashMap<>();
        for (FakeVm vm : vms) {
            if (vm.up && vm.reachable) {
                reportedPlans.put(vm.start, vm.reportedPlan(nowMillis));
            }
            vm.leaderChanged(predecessorEndMillis);
        }
    }

    void run(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            tick();
        }
    }

    /** Runs until a condition holds or the time has passed. */
    void runUntil(BooleanSupplier condition, long atMostMillis) {
        long endMillis = nowMillis + atMostMillis;
        while (nowMillis < endMillis && !condition.getAsBoolean()) {
            tick();
        }
    }

    private void tick() {
        nowMillis += TICK_MILLIS;
        for (ScheduledAction timed : List.copyOf(pending)) {
            if (timed.atMillis() <= nowMillis) {
                pending.remove(timed);
                timed.action().run();
            }
        }
        if (logReachable) {
            log.applyUntil(nowMillis);
        }
        if (nowMillis >= leaderFromMillis) {
            stepLeader();
        }
        checkExclusiveOwnership();
    }

    private void stepLeader() {
        if (reportedPlans == null) {
            startLeading();
        }
        OwnershipActions step = coordinator.step(inputs(), nowMillis);
        auditNotes.addAll(step.auditNotes());
        step.auditNotes().forEach(planChecker::checkProvisionalStep);
        step.plan().ifPresent(newest -> {
            planChecker.checkPlanChange(plan, newest, reportedPlans.values());
            plan = newest;
        });
        if (!logReachable && !step.records().isEmpty()) {
            violations.add("appends while the log is out");
        }
        if (logReachable && !step.auditNotes().isEmpty()) {
            violations.add("a provisional step while the log answers");
        }
        if (!logReachable) {
            planChecker.logUnreachable();
        }
        for (LogRecord record : step.records()) {
            records.add(record);
            if (record instanceof LogRecord.AssignmentsRecorded assigned) {
                planChecker.checkAppended(assigned, plan);
            }
            if (random.nextDouble() >= lostAnswerRatio) {
                append(record);
            }
        }
        step.orders().forEach(this::send);
        if (plan != null && nowMillis % settings.heartbeatMillis() < TICK_MILLIS) {
            sendHeartbeats();
        }
    }

    /** Appends a record after those of the same leader, which sends each one once the last one is read back. */
    private void append(LogRecord record) {
        long atMillis = nowMillis + 20 + random.nextInt(50);
        if (lateAppendRatio > 0) {
            boolean late = random.nextDouble() < lateAppendRatio;
            atMillis = Math.max(lastAppendMillis, atMillis + (late ? random.nextInt(LATE_APPEND_MILLIS) : 0));
            lastAppendMillis = atMillis;
        }
        log.append(record, atMillis);
    }

    private void sendHeartbeats() {
        for (FakeVm vm : vms) {
            if (vm.up && vm.reachable) {
                boolean replyLost = random.nextDouble() < lostAnswerRatio;
                vm.heartbeat(plan, nowMillis, random.nextInt(80), replyLost);
            }
        }
    }

    private void send(ServerOrder order) {
        orders.add(order);
        if (unanswered.put(order.server(), order.sequence()) != null) {
            violations.add("second order while one is unanswered");
        }
        FakeServer server = servers.get(order.server());
        boolean arrives = server.up && random.nextDouble() >= lostAnswerRatio;
        boolean answered = arrives && random.nextDouble() >= lostAnswerRatio;
        long arrivalMillis = nowMillis + random.nextInt(answered ? 20 : (int) settings.startByMillis());
        Term sender = term;
        if (arrives) {
            pending.add(new ScheduledAction(arrivalMillis, () -> {
                boolean accepted = server.handleOrder(order, nowMillis);
                if (answered && sender.equals(term)) {
                    unanswered.remove(order.server());
                    coordinator.orderAnswered(order.server(), order.sequence(), accepted, nowMillis);
                }
            }));
        }
        if (!answered) {
            pending.add(new ScheduledAction(nowMillis + 10 + random.nextInt(200), () -> {
                if (sender.equals(term)) {
                    unanswered.remove(order.server());
                    coordinator.orderFailed(order.server(), order.sequence(), nowMillis);
                }
            }));
        }
    }

    OwnershipInputs inputs() {
        List<VmStart> members = vms.stream()
                .filter(v -> v.up && v.reachable && !leaving.contains(v.start))
                .map(v -> v.start)
                .toList();
        return new OwnershipInputs(
                LOCAL_DATA_CENTRE,
                vms.get(0).start,
                term,
                log.state(),
                logReachable,
                members,
                dispatcherStatus(),
                predecessorEndMillis,
                reportedPlans,
                reportedPlans.size() == vms.size(),
                conditions,
                loads);
    }

    private DispatcherStatus dispatcherStatus() {
        return new DispatcherStatus() {
            @Override
            public boolean isLive(VmStart vm, long now) {
                return vm(vm).up;
            }

            @Override
            public boolean hasStoppedUsingPlansBefore(VmStart vm, long planVersion, long now) {
                return vm(vm).hasStoppedUsingPlansBefore(planVersion, now);
            }

            @Override
            public boolean hasApplied(VmStart vm, LogOffset offset) {
                return vm(vm).up;
            }
        };
    }

    FakeVm vm(VmStart start) {
        return vms.stream().filter(v -> v.start.equals(start)).findFirst().orElseThrow();
    }

    /** Stops a server; its condition turns unreachable only after a delay. */
    void failServer(ServerId server, long noticedAfterMillis) {
        servers.get(server).up = false;
        pending.add(new ScheduledAction(nowMillis + noticedAfterMillis, () -> {
            if (!servers.get(server).up) {
                conditions.put(server, ServerCondition.UNREACHABLE);
            }
        }));
    }

    void recoverServer(ServerId server) {
        servers.get(server).up = true;
        conditions.put(server, ServerCondition.REACHABLE);
    }

    /** Returns the owner of a shard in the current plan, or null. */
    ServerId ownerOf(ShardId shard) {
        return plan.ownerOf(shard).map(RoutePlan.Ownership::server).orElse(null);
    }

    private void checkExclusiveOwnership() {
        Map<ShardId, ServerId> owners = new HashMap<>();
        Map<ServerId, VmStart> dispatchers = new HashMap<>();
        for (ServerSpec spec : specs) {
            if (spec.checksTokens()) {
                servers.get(spec.id()).ownedShards(nowMillis).forEach(s -> recordOwner(owners, s, spec.id()));
            }
        }
        Set<ShardId> served = new TreeSet<>();
        for (FakeVm vm : vms) {
            vm.forEachActiveDispatch(nowMillis, (shard, server, sender) -> {
                if (!specOf(server).checksTokens()) {
                    recordOwner(owners, shard, server);
                }
                VmStart other = dispatchers.putIfAbsent(server, sender);
                if (other != null && !other.equals(sender)) {
                    violations.add("two dispatchers of one server");
                }
                if (isServed(vm, shard, server)) {
                    served.add(shard);
                }
            });
        }
        for (int i = 0; i < SHARDS; i++) {
            ShardId shard = new ShardId(LEDGER, i);
            unservedMillis.merge(shard, served.contains(shard) ? 0 : TICK_MILLIS, Long::sum);
        }
    }

    private boolean isServed(FakeVm vm, ShardId shard, ServerId server) {
        boolean granted = !specOf(server).checksTokens()
                || servers.get(server).ownedShards(nowMillis).contains(shard);
        return servers.get(server).up && vm.mayServe(shard, nowMillis) && granted;
    }

    private ServerSpec specOf(ServerId server) {
        return specs.stream().filter(s -> s.id().equals(server)).findFirst().orElseThrow();
    }

    private void recordOwner(Map<ShardId, ServerId> owners, ShardId shard, ServerId server) {
        ServerId other = owners.putIfAbsent(shard, server);
        if (other != null && !other.equals(server)) {
            violations.add("two servers act for one shard");
        }
    }

    long longestUnservedMillis() {
        return unservedMillis.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    long servedShards() {
        return plan == null ? 0 : plan.owners().size();
    }
}
