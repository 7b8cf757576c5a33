package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

class RangePlannerTest {
    private static final int SERVERS = 19;
    private final KeyLoad load = new KeyLoad(6_000, 2_000);

    private static Map<ServerStart, Double> servers(int count) {
        Map<ServerStart, Double> servers = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            servers.put(new ServerStart(new ServerId("s" + i), 1), 2.0);
        }
        return servers;
    }

    private List<RangeOwnership> plan(List<RangeOwnership> current, Map<ServerStart, Double> servers) {
        return RangePlanner.plan(current, servers, load.profile(0), ownership -> true);
    }

    private List<RangeOwnership> planRepeatedly(List<RangeOwnership> current, Map<ServerStart, Double> servers) {
        List<RangeOwnership> planned = current;
        for (int i = 0; i < 10; i++) {
            planned = plan(planned, servers);
        }
        return planned;
    }

    private double maxToMeanLoad(List<RangeOwnership> ranges, Map<ServerStart, Double> servers) {
        Map<ServerStart, Double> cost = new HashMap<>();
        KeyLoad.Profile profile = load.profile(0);
        ranges.forEach(range -> cost.merge(range.owner(), profile.cost(range.range()), Double::sum));
        double most = cost.values().stream().mapToDouble(d -> d).max().orElseThrow();
        return most / (profile.cost(KeyRange.ALL) / servers.size());
    }

    private static int countKeys(List<RangeOwnership> ranges) {
        return ranges.stream().mapToInt(range -> range.range().size()).sum();
    }

    @Test
    void everyServerGetsASimilarShareWithoutLoad() {
        List<RangeOwnership> planned = plan(List.of(), servers(SERVERS));
        assertThat(countKeys(planned)).isEqualTo(KeyRange.ALL.size());
        assertThat(maxToMeanLoad(planned, servers(SERVERS))).isLessThan(1.3);
    }

    /** Load pattern: adjacent keys are busy, and their load decreases slowly from key to key. */
    @Test
    void neighbouringBusyKeysAreSpreadOverAllServers() {
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 1_500; i++) {
            int rank = (int) (Math.pow(random.nextDouble(), 3) * 60_000);
            load.add((rank + 55_000) % 65_536, 100, 0);
        }
        List<RangeOwnership> first = plan(List.of(), servers(SERVERS));
        List<RangeOwnership> planned = planRepeatedly(first, servers(SERVERS));
        assertThat(countKeys(planned)).isEqualTo(KeyRange.ALL.size());
        assertThat(maxToMeanLoad(planned, servers(SERVERS))).isLessThan(1.5);
    }

    /** Load pattern: one key takes 30 % of the requests, so its owner must lose nearly all other keys. */
    @Test
    void ownerOfAHotKeyKeepsFewOtherKeys() {
        List<RangeOwnership> first = plan(List.of(), servers(SERVERS));
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 1_000; i++) {
            load.add(random.nextInt(10) < 3 ? 20_000 : random.nextInt(65_536), 100, 0);
        }
        List<RangeOwnership> planned = planRepeatedly(first, servers(SERVERS));
        ServerStart owner = planned.stream()
                .filter(range -> range.range().contains(20_000))
                .findFirst()
                .orElseThrow()
                .owner();
        int keysOfOwner = planned.stream()
                .filter(range -> range.owner().equals(owner))
                .mapToInt(range -> range.range().size())
                .sum();
        assertThat(keysOfOwner).isLessThan(1_000);
    }

    /** Load pattern: one key takes 40 % of the requests, far more than any server can serve. */
    @Test
    void keyThatIsTooMuchForAnyServerMovesToTheFastest() {
        Map<ServerStart, Double> servers = servers(SERVERS);
        ServerStart fastest = new ServerStart(new ServerId("s7"), 1);
        servers.put(fastest, 2.8);
        List<RangeOwnership> planned = plan(List.of(), servers);
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 1_000; i++) {
            load.add(random.nextInt(10) < 4 ? 20_000 : random.nextInt(65_536), 100, 0);
        }
        planned = planRepeatedly(planned, servers);
        assertThat(planned)
                .filteredOn(range -> range.range().contains(20_000))
                .extracting(RangeOwnership::owner)
                .containsExactly(fastest);
        assertThat(plan(planned, servers)).isEqualTo(planned);
    }

    @Test
    void onlyTheKeysOfARemovedServerMove() {
        Map<ServerStart, Double> servers = servers(SERVERS);
        List<RangeOwnership> first = plan(List.of(), servers);
        ServerStart lost = new ServerStart(new ServerId("s3"), 1);
        servers.remove(lost);
        List<RangeOwnership> planned = plan(first, servers);
        assertThat(countKeys(planned)).isEqualTo(KeyRange.ALL.size());
        assertThat(planned).noneMatch(range -> range.owner().equals(lost));
        long unchangedRanges = first.stream()
                .filter(range -> !range.owner().equals(lost))
                .filter(planned::contains)
                .count();
        assertThat(unchangedRanges)
                .isEqualTo(first.stream().filter(r -> !r.owner().equals(lost)).count());
    }

    @Test
    void newServerGetsKeysInTheFirstPlan() {
        List<RangeOwnership> first = plan(List.of(), servers(5));
        List<RangeOwnership> planned = plan(first, servers(6));
        assertThat(planned).anyMatch(range -> range.owner().server().value().equals("s5"));
    }

    @Test
    void uniformLoadCausesNoMoves() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 4_000; i++) {
            load.add(random.nextInt(65_536), 100, 0);
        }
        List<RangeOwnership> first = planRepeatedly(plan(List.of(), servers(SERVERS)), servers(SERVERS));
        assertThat(plan(first, servers(SERVERS))).isEqualTo(first);
    }
}
