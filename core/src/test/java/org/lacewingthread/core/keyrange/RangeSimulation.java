package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;

/**
 * Simulates coordinators, servers and a store in virtual time. Grants may be delayed, lost, or take
 * effect late without an answer.
 */
final class RangeSimulation {
    static final ServiceId SERVICE = new ServiceId("orders");
    static final RangeLeaseTimes TIMES = new RangeLeaseTimes(4_000, 1_000, 10_000, 3_000, 0.03);
    static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long STEP_MILLIS = 10;
    private static final int[] CHECKED_KEYS = {0, 1_000, 8_191, 20_000, 32_768, 40_000, 50_000, 65_535};

    final RandomGenerator random;
    final Map<String, RangeCoordinator> coordinators = new TreeMap<>();
    final Set<String> disconnectedFromStore = new HashSet<>();
    final Set<String> stoppedVms = new HashSet<>();
    final Map<ServerStart, SimulatedKeyServer> servers = new TreeMap<>();
    final Set<ServerStart> ready = new HashSet<>();
    final Set<ServerStart> registered = new HashSet<>();
    final Set<ServerStart> unreachable = new HashSet<>();
    final KeyLoad load = new KeyLoad(6_000, 2_000);
    final List<String> violations = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    long nowMillis = 1_000;
    String leaderCandidate = "a";
    double lateGrantRatio;
    /** Maximum random delay of a grant, which reorders calls; appends to the store are always delayed by it. */
    int maxJitterMillis;
    /** Time until the requests that run on released keys have ended. */
    long releaseMillis = 100;

    private RangeTable recorded = RangeTable.EMPTY;
    private long logEnd;
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
        Leader leader = new Leader(new VmStart(new VmId(name), random.nextLong(1L << 40)), "10.0.0.1", 7_000);
        coordinators.put(name, new RangeCoordinator(leader, TIMES));
    }

    ServerStart addServer(String name, long startedMillis) {
        ServerStart start = new ServerStart(new ServerId(name), startedMillis);
        servers.put(start, new SimulatedKeyServer(start));
        ready.add(start);
        registered.add(start);
        return start;
    }

    RangeTable recorded() {
        return recorded;
    }

    void runFor(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS;
            while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atMillis() <= nowMillis) {
                scheduledTasks.poll().task().run();
            }
            coordinators.forEach(this::stepVm);
            checkForDoubleHolders();
        }
    }

    private void stepVm(String name, RangeCoordinator coordinator) {
        if (stoppedVms.contains(name)) {
            return;
        }
        coordinator.setLeaderCandidate(name.equals(leaderCandidate) && !disconnectedFromStore.contains(name));
        if (!disconnectedFromStore.contains(name)) {
            coordinator.onTable(recorded, logEnd, nowMillis);
            coordinator.onStoreAnswer(nowMillis);
        }
        Map<ServerStart, Double> capacity = new TreeMap<>();
        ready.forEach(server -> capacity.put(server, 2.0));
        ServiceView view = new ServiceView(capacity, Set.copyOf(registered), load.profile(nowMillis));
        for (Leader former : coordinator.formerLeadersToNotify()) {
            RangeCoordinator formerCoordinator =
                    coordinators.get(former.process().vm().value());
            if (!stoppedVms.contains(former.process().vm().value()) && random.nextInt(4) == 0) {
                formerCoordinator.onTable(recorded, logEnd, nowMillis);
                coordinator.onFormerLeaderStopped(former.process(), nowMillis);
            }
        }
        for (CoordinatorAction action : coordinator.step(Map.of(SERVICE, view), nowMillis)) {
            execute(name, coordinator, action);
        }
    }

    private void execute(String name, RangeCoordinator coordinator, CoordinatorAction action) {
        if (action instanceof CoordinatorAction.RecordTable record) {
            boolean reached = !disconnectedFromStore.contains(name);
            schedule(5L + maxJitterMillis, () -> {
                Optional<Long> end = reached ? append(record) : Optional.empty();
                schedule(5, () -> coordinator.onRecorded(record, end, nowMillis));
            });
        } else if (action instanceof CoordinatorAction.Grant grant) {
            sendGrant(coordinator, grant);
        } else if (action instanceof CoordinatorAction.Release release) {
            sendRelease(coordinator, release);
        }
    }

    private Optional<Long> append(CoordinatorAction.RecordTable record) {
        if (record.expectedEnd() != logEnd) {
            return Optional.empty();
        }
        recorded = record.table();
        logEnd++;
        return Optional.of(logEnd);
    }

    private void sendGrant(RangeCoordinator coordinator, CoordinatorAction.Grant grant) {
        SimulatedKeyServer server = servers.get(grant.server());
        long delayMillis = 2L + (maxJitterMillis == 0 ? 0 : random.nextInt(maxJitterMillis));
        long arrivedMillis = nowMillis + delayMillis;
        boolean reachable = server.alive && !unreachable.contains(server.start);
        boolean late = random.nextDouble() < lateGrantRatio;
        if (reachable && !late) {
            schedule(delayMillis, () -> {
                boolean granted = server.grant(grant.range(), grant.fence(), grant.holdMillis(), arrivedMillis);
                GrantOutcome outcome = granted ? GrantOutcome.GRANTED : GrantOutcome.FENCED;
                schedule(2, () -> coordinator.onGrantAnswer(grant.call(), outcome, nowMillis));
            });
            return;
        }
        if (reachable) {
            schedule(
                    2_000 + random.nextInt(10_000),
                    () -> server.grant(grant.range(), grant.fence(), grant.holdMillis(), arrivedMillis));
        }
        schedule(CALL_TIMEOUT_MILLIS, () -> coordinator.onGrantAnswer(grant.call(), GrantOutcome.UNKNOWN, nowMillis));
    }

    private void sendRelease(RangeCoordinator coordinator, CoordinatorAction.Release release) {
        SimulatedKeyServer server = servers.get(release.server());
        if (!server.alive || unreachable.contains(server.start)) {
            schedule(
                    5_000,
                    () -> coordinator.onReleaseAnswer(
                            release.call(), ReleaseOutcome.UNKNOWN, Optional.empty(), nowMillis));
            return;
        }
        schedule(2, () -> {
            server.release(release.range());
            schedule(
                    releaseMillis,
                    () -> coordinator.onReleaseAnswer(
                            release.call(), ReleaseOutcome.RELEASED, Optional.of("token"), nowMillis));
        });
    }

    private void schedule(long delayMillis, Runnable task) {
        scheduledTasks.add(new ScheduledTask(nowMillis + delayMillis, nextTaskNumber++, task));
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
            Optional<RangeOwnership> ownership = recorded.find(SERVICE, key);
            boolean holds = ownership.isPresent()
                    && !ownership.get().isMoving()
                    && servers.get(ownership.get().owner()).holds(key, nowMillis);
            served += holds ? 1 : 0;
        }
        return served;
    }

    int checkedKeys() {
        return CHECKED_KEYS.length;
    }
}
