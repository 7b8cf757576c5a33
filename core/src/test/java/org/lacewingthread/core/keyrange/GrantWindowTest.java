package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;

/** A VM with little processor time takes over the lead of many ranges. */
class GrantWindowTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final RangeLeaseTimes TIMES = new RangeLeaseTimes(4_000, 1_000, 10_000, 3_000, 0.03);
    private static final int SERVERS = 130;
    private static final int RANGES = 196;
    /** Time that a VM with 0.3 of a processor takes to connect to a server, and time limit of a grant. */
    private static final long CONNECT_MILLIS = 7;

    private static final long GRANT_TIMEOUT_MILLIS = 400;
    private static final long TICK_MILLIS = 20;

    private final RangeCoordinator coordinator = new RangeCoordinator(
            new Leader(new VmStart(new VmId("a"), 1), "10.0.0.1", 7_000),
            TIMES,
            RangeEventListener.NONE,
            () -> 0,
            new FirstUse(false, 0));
    private final List<ServerStart> servers = new ArrayList<>();
    private final Set<ServerStart> silent = new HashSet<>();
    /** When a range was last granted, by its first key. */
    private final Map<Integer, Long> grantedMillis = new HashMap<>();

    /** Calls to silent servers, with the ends of their time limits. */
    private final List<Map.Entry<Long, CoordinatorAction.Grant>> unanswered = new ArrayList<>();

    private int notSent;
    private long nowMillis = 1_000;

    @BeforeEach
    void takeOverTheLead() {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerStart(new ServerId("i-" + i), 1));
        }
        List<RangeOwnership> ranges = new ArrayList<>();
        int size = KeyRange.ALL.size() / RANGES;
        for (int i = 0; i < RANGES; i++) {
            int last = i == RANGES - 1 ? KeyRange.ALL.lastKey() : (i + 1) * size - 1;
            ranges.add(RangeOwnership.settled(new KeyRange(i * size, last), servers.get(i % SERVERS)));
        }
        RangeTable table = RangeTable.EMPTY
                .withLeader(4, new Leader(new VmStart(new VmId("b"), 2), "10.0.0.2", 7_000))
                .withRanges(ORDERS, ranges);
        coordinator.onTable(table, new LogPosition(0, 3), nowMillis);
        coordinator.setLeaderCandidate(true);
        assertThat(grantsOfStep()).isEmpty();
    }

    /** Takes a step, records the proposed table at once, and returns the grants. */
    private List<CoordinatorAction.Grant> grantsOfStep() {
        coordinator.onStoreAnswer(0, nowMillis);
        Map<ServerStart, Double> capacity = new HashMap<>();
        servers.forEach(server -> capacity.put(server, 2.0));
        ServiceView view = new ServiceView(capacity, Set.copyOf(servers), new KeyLoad(6_000, 2_000).profile(nowMillis));
        List<CoordinatorAction.Grant> grants = new ArrayList<>();
        for (CoordinatorAction action : coordinator.step(Map.of(ORDERS, view), nowMillis)) {
            if (action instanceof CoordinatorAction.RecordTable record) {
                coordinator.onRecorded(record, AppendResult.recorded(record.expectedEnd() + 1), nowMillis);
            } else if (action instanceof CoordinatorAction.Grant grant) {
                grants.add(grant);
            }
        }
        return grants;
    }

    /** Connects to all servers of a turn before anything is sent, so that a long turn outlasts the time limit. */
    private void runTurn() {
        List<CoordinatorAction.Grant> grants = grantsOfStep();
        long decidedMillis = nowMillis;
        nowMillis += TICK_MILLIS + grants.size() * CONNECT_MILLIS;
        boolean inTime = nowMillis - decidedMillis < GRANT_TIMEOUT_MILLIS;
        for (CoordinatorAction.Grant grant : grants) {
            if (inTime && silent.contains(grant.server())) {
                unanswered.add(Map.entry(decidedMillis + GRANT_TIMEOUT_MILLIS, grant));
                continue;
            }
            notSent += inTime ? 0 : 1;
            GrantOutcome outcome = inTime ? GrantOutcome.GRANTED : GrantOutcome.NOT_SENT;
            coordinator.onGrantAnswer(grant.call(), outcome, nowMillis);
            if (inTime) {
                grantedMillis.put(grant.range().firstKey(), nowMillis);
            }
        }
        for (Map.Entry<Long, CoordinatorAction.Grant> call : List.copyOf(unanswered)) {
            if (nowMillis >= call.getKey()) {
                unanswered.remove(call);
                coordinator.onGrantAnswer(call.getValue().call(), GrantOutcome.UNKNOWN, nowMillis);
            }
        }
    }

    private void runFor(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            runTurn();
        }
    }

    /** Guards against a burst of grants of which none leaves the VM, so that all holds run out. */
    @Test
    void slowLeaderRenewsAllRangesBeforeTheirHoldsRunOut() {
        runFor(3_000);
        assertThat(notSent).as("grants that were not sent in time").isZero();
        assertThat(grantedMillis).hasSize(RANGES);
        runFor(10_000);
        assertThat(grantedMillis.values()).allMatch(granted -> nowMillis - granted < TIMES.holdMillis());
    }

    /** Guards against servers without an answer that keep the others from being renewed. */
    @Test
    void silentServersDoNotHoldUpOthers() {
        silent.addAll(servers.subList(0, 60));
        runFor(4_000);
        Optional<RangeOwnership> missing = coordinator.table().ranges(ORDERS).stream()
                .filter(ownership -> !silent.contains(ownership.owner()))
                .filter(ownership ->
                        !grantedMillis.containsKey(ownership.range().firstKey()))
                .findAny();
        assertThat(missing).isEmpty();
    }
}
