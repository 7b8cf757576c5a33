package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

/**
 * Load pattern: a moving hot set. A few keys suddenly get a third or more of the requests for seconds, then others do.
 * The keys are spread by measured load, without a network.
 */
class MovingHotSetTest {
    private static final int STEP_MILLIS = 50;
    private static final int REPORT_DELAY_MILLIS = 250;
    /** Time from a plan until the keys that it moves are served by their new owners. */
    private static final int MOVE_MILLIS = 300;

    private static final int SHIFT_MILLIS = 6_000;
    private static final int SECOND_SHIFT_MILLIS = 11_000;
    private static final int END_MILLIS = 15_000;
    private static final int LEVEL_WITHIN_MILLIS = 1_500;
    /** Share of the requests that may meet a server that is offered more than it can serve. */
    private static final double LEVEL_SHARE = 0.1;
    /** Mean utilization of the servers by all requests. */
    private static final double UTILIZATION = 0.6;

    private static final double SERVICE_MILLIS = 100;
    private static final int OBSERVED_MILLIS = 500;

    private final SplittableRandom random = new SplittableRandom(11);
    private final KeyLoad load = KeyLoad.ofRequests();
    private final Map<ServerStart, Double> capacityByServer = new TreeMap<>();
    private List<RangeOwnership> ranges = List.of();
    private final Map<RangeOwnership, Integer> movingUntilMillis = new HashMap<>();
    private final List<int[]> unreported = new ArrayList<>();
    private final List<int[]> observed = new ArrayList<>();
    private long movedKeys;
    private long nextPlanMillis;

    private void addServers(int count) {
        double[] speeds = {0.6, 1.0, 1.4};
        for (int i = 0; i < count; i++) {
            capacityByServer.put(new ServerStart(new ServerId("s" + i), 1), 2 * speeds[i % speeds.length]);
        }
    }

    private int key(int nowMillis, int[] hotKeys, double hotShare) {
        boolean hot = nowMillis >= SHIFT_MILLIS && random.nextDouble() < hotShare;
        if (hot) {
            return hotKeys[random.nextInt(hotKeys.length)];
        }
        return (int) (Math.pow(random.nextDouble(), 2) * KeyRange.ALL.size());
    }

    private int[] hotKeys(int count, boolean neighbours) {
        int first = random.nextInt(20_000, 60_000);
        int[] keys = new int[count];
        for (int i = 0; i < count; i++) {
            keys[i] = neighbours ? first + i : random.nextInt(KeyRange.ALL.size());
        }
        return keys;
    }

    /** Plans as the coordinator does: again at once after a plan that moved keys, otherwise at intervals. */
    private void planWhenDue(int nowMillis) {
        if (nowMillis >= nextPlanMillis) {
            List<RangeOwnership> before = ranges;
            plan(nowMillis);
            nextPlanMillis = nowMillis + (ranges.equals(before) ? BalanceSchedule.INTERVAL_MILLIS : 0);
        }
    }

    private void plan(int nowMillis) {
        for (int[] sample : unreported) {
            if (sample[0] <= nowMillis - REPORT_DELAY_MILLIS) {
                load.add(sample[1], 100, nowMillis);
            }
        }
        unreported.removeIf(sample -> sample[0] <= nowMillis - REPORT_DELAY_MILLIS);
        movingUntilMillis.values().removeIf(until -> until <= nowMillis);
        Map<Integer, ServerStart> ownerBefore = new HashMap<>();
        ranges.forEach(range -> {
            for (int key = range.range().firstKey(); key <= range.range().lastKey(); key++) {
                ownerBefore.put(key, range.owner());
            }
        });
        List<RangeOwnership> planned = RangePlanner.plan(
                ranges, capacityByServer, load.profile(nowMillis), range -> !movingUntilMillis.containsKey(range));
        for (RangeOwnership range : planned) {
            boolean moved = !ranges.isEmpty()
                    && !ownerBefore.get(range.range().firstKey()).equals(range.owner());
            if (moved) {
                movedKeys += range.range().size();
                movingUntilMillis.put(range, nowMillis + MOVE_MILLIS);
            }
        }
        ranges = planned;
    }

    /** Returns the share of the newest requests whose keys belong to servers that are offered too much. */
    private double shareOfOverloaded(int nowMillis) {
        observed.removeIf(sample -> sample[0] < nowMillis - OBSERVED_MILLIS);
        TreeMap<Integer, RangeOwnership> byFirstKey = new TreeMap<>();
        ranges.forEach(range -> byFirstKey.put(range.range().firstKey(), range));
        Map<ServerStart, Integer> requests = new HashMap<>();
        for (int[] sample : observed) {
            requests.merge(byFirstKey.floorEntry(sample[1]).getValue().owner(), 1, Integer::sum);
        }
        double overloaded = 0;
        for (Map.Entry<ServerStart, Integer> server : requests.entrySet()) {
            double served = capacityByServer.get(server.getKey()) * OBSERVED_MILLIS / SERVICE_MILLIS;
            // Twice the standard deviation, since as many may come by chance.
            boolean tooMuch = server.getValue() > served + 2 * Math.sqrt(served);
            overloaded += tooMuch ? server.getValue() - served : 0;
        }
        return overloaded / Math.max(1, observed.size());
    }

    /** Guards against a table without known fate that leaves the owners of many ranges without renewals. */
    @Test
    void planMovesFewRangesAtATime() {
        addServers(113);
        for (int nowMillis = 0; nowMillis < SHIFT_MILLIS + OBSERVED_MILLIS; nowMillis += STEP_MILLIS) {
            for (int i = 0; i < requestsPerStep(); i++) {
                unreported.add(new int[] {nowMillis, key(nowMillis, new int[] {30_000, 30_001, 30_002}, 0.5)});
            }
            movingUntilMillis.clear();
            plan(nowMillis);
            assertThat(movingUntilMillis).hasSizeLessThanOrEqualTo(RangePlanner.MAX_BALANCE_MOVES);
        }
    }

    private double requestsPerStep() {
        double capacity = capacityByServer.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        return UTILIZATION * capacity * STEP_MILLIS / SERVICE_MILLIS;
    }

    /** Guards against keys that change hands because too few samples were compared. */
    @ParameterizedTest(name = "{0} servers")
    @ValueSource(ints = {22, 113, 176})
    void steadyLoadMovesFewKeys(int servers) {
        addServers(servers);
        double requestsPerStep = requestsPerStep();
        long movedBefore = 0;
        for (int nowMillis = 0; nowMillis < END_MILLIS; nowMillis += STEP_MILLIS) {
            int count = (int) (requestsPerStep + random.nextDouble());
            for (int i = 0; i < count; i++) {
                unreported.add(new int[] {nowMillis, key(0, new int[0], 0)});
            }
            planWhenDue(nowMillis);
            if (nowMillis == SHIFT_MILLIS) {
                movedBefore = movedKeys;
            }
        }
        assertThat(movedKeys - movedBefore).isLessThan(KeyRange.ALL.size() / 10);
    }

    @ParameterizedTest(name = "{0} servers, {1} keys get {2} of the requests, neighbours: {3}, one key gets {4}")
    @CsvSource({
        "22, 200, 0.33, true, 0", "22, 60, 0.45, true, 0", "22, 200, 0.40, false, 0", "22, 60, 0.40, false, 0",
        "22, 200, 0.33, true, 0.02", "113, 200, 0.33, true, 0", "113, 60, 0.45, true, 0", "113, 60, 0.40, false, 0",
        "176, 200, 0.45, true, 0", "176, 60, 0.33, true, 0"
    })
    void loadIsLevelAgainSoonAfterAHotSetMoves(
            int servers, int keys, double share, boolean neighbours, double shareOfOneKey) {
        addServers(servers);
        double requestsPerStep = requestsPerStep();
        int[] firstSet = hotKeys(keys, neighbours);
        int[] secondSet = hotKeys(Math.max(60, keys / 2), neighbours);
        int hottestKey = random.nextInt(KeyRange.ALL.size());
        int firstLevelMillis = -1;
        int secondLevelMillis = -1;
        for (int nowMillis = 0; nowMillis < END_MILLIS; nowMillis += STEP_MILLIS) {
            int count = (int) (requestsPerStep + random.nextDouble());
            for (int i = 0; i < count; i++) {
                int key = random.nextDouble() < shareOfOneKey
                        ? hottestKey
                        : key(nowMillis, nowMillis < SECOND_SHIFT_MILLIS ? firstSet : secondSet, share);
                unreported.add(new int[] {nowMillis, key});
                observed.add(new int[] {nowMillis, key});
            }
            planWhenDue(nowMillis);
            if (shareOfOverloaded(nowMillis) > LEVEL_SHARE) {
                if (nowMillis >= SECOND_SHIFT_MILLIS) {
                    secondLevelMillis = nowMillis - SECOND_SHIFT_MILLIS;
                } else if (nowMillis >= SHIFT_MILLIS) {
                    firstLevelMillis = nowMillis - SHIFT_MILLIS;
                }
            }
        }
        // The requests that are observed are up to 500 ms old, and the keys arrive after the plan.
        int boundMillis = LEVEL_WITHIN_MILLIS + OBSERVED_MILLIS - MOVE_MILLIS;
        assertThat(firstLevelMillis).isLessThanOrEqualTo(boundMillis);
        assertThat(secondLevelMillis).isLessThanOrEqualTo(boundMillis);
    }
}
