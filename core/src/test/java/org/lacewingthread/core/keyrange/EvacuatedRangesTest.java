package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.evacuation.Evacuations;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.registry.RegistryFreshness;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** The keys of a third of the servers move when their data centre is evacuated, without a network. */
class EvacuatedRangesTest {
    private static final int SERVERS = 90;
    private static final int RANGES = 540;
    private static final int REQUESTS_PER_STEP = 30;
    private static final long STEP_MILLIS = 50;
    private static final long EVACUATE_MILLIS = 5_000;
    /** Time from the store's acceptance of the evacuation until the leader knows of it. */
    private static final long KNOWN_AFTER_MILLIS = 1_300;
    /** Time from the acceptance after which nothing is sent, since a delivery takes up to 250 ms. */
    private static final long CLOSED_AFTER_MILLIS = 4_750;

    /** Longest time from the decision of a call to its arrival, as the next leader assumes it. */
    private static final long MAX_CALL_DELIVERY_MILLIS = 1_200;

    private static final DataCentreId EVACUATED = new DataCentreId("maras");

    private final SplittableRandom random = new SplittableRandom(5);
    private final RangeSimulation simulation = new RangeSimulation(random);
    private final List<KnownServer> known = new ArrayList<>();
    private final Set<ServerStart> evacuatedServers = new HashSet<>();
    private final Evacuations evacuations =
            new Evacuations(EVACUATE_MILLIS, new RegistryFreshness(EVACUATE_MILLIS, () -> 0, () -> 0));
    private int mostMovingKeys;

    @BeforeEach
    void ownSixRangesEach() {
        List<ServerStart> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            ServerStart server = simulation.addServer("i-" + i, 1);
            servers.add(server);
            DataCentreId dataCentre = i % 3 == 0 ? EVACUATED : new DataCentreId("ilex");
            known.add(new KnownServer(
                    new ServerEntry(server, RangeSimulation.SERVICE, "10.0.0.1", 80, dataCentre, 4, false, false),
                    Optional.empty(),
                    Optional.empty()));
        }
        List<RangeOwnership> ranges = new ArrayList<>();
        int size = KeyRange.ALL.size() / RANGES;
        for (int i = 0; i < RANGES; i++) {
            int last = i == RANGES - 1 ? KeyRange.ALL.lastKey() : (i + 1) * size - 1;
            ranges.add(RangeOwnership.settled(new KeyRange(i * size, last), servers.get(i % SERVERS)));
        }
        RangeTable table = RangeTable.EMPTY.withRanges(RangeSimulation.SERVICE, ranges);
        simulation.store.append(new CoordinatorAction.RecordTable(table, 0));
        simulation.addVm("a");
        simulation.releaseMillis = 300;
        run(6_000);
        assertThat(movingKeys()).isZero();
    }

    private void run(long millis) {
        for (long end = simulation.nowMillis + millis; simulation.nowMillis < end; ) {
            for (int i = 0; i < REQUESTS_PER_STEP; i++) {
                simulation.load.add(random.nextInt(KeyRange.ALL.size()), 100, simulation.nowMillis);
            }
            simulation.runFor(STEP_MILLIS);
            mostMovingKeys = Math.max(mostMovingKeys, movingKeys());
            checkForDoubleHolders();
        }
    }

    private void checkForDoubleHolders() {
        for (int key = 0; key < KeyRange.ALL.size(); key += 797) {
            int checked = key;
            assertThat(simulation.servers.values().stream()
                            .filter(server -> server.holds(checked, simulation.nowMillis))
                            .count())
                    .isLessThanOrEqualTo(1);
        }
    }

    private List<RangeOwnership> ranges() {
        return simulation.recorded().rangesByService().get(RangeSimulation.SERVICE);
    }

    private int movingKeys() {
        return ranges().stream()
                .filter(RangeOwnership::isMoving)
                .mapToInt(ownership -> ownership.range().size())
                .sum();
    }

    /** Lets the leader learn of an evacuation that the store accepted some time ago. */
    private void learnOfEvacuation() {
        evacuations.onCurrent(simulation.nowMillis - KNOWN_AFTER_MILLIS);
        evacuations.begin(EVACUATED, simulation.nowMillis);
        evacuations.onCurrent(simulation.nowMillis);
        List<KnownServer> servers = evacuations.applyTo(known);
        servers.stream().filter(KnownServer::evacuated).forEach(server -> evacuatedServers.add(server.start()));
        simulation.ready.removeAll(evacuatedServers);
        simulation.evacuation = view -> view.withEvacuated(
                evacuations.leavingLater(servers, simulation.nowMillis),
                Evacuations.closed(servers, simulation.nowMillis));
    }

    private boolean isGone(RangeOwnership ownership) {
        return !evacuatedServers.contains(ownership.owner())
                && ownership.movingFrom().filter(evacuatedServers::contains).isEmpty();
    }

    /** Guards against keys that are still at an evacuated server at its deadline, and against a few servers that get them all. */
    @ParameterizedTest(name = "answers up to {0} ms late")
    @ValueSource(ints = {0, 150})
    void allKeysLeaveInTimeAndEvenly(int jitterMillis) {
        simulation.maxJitterMillis = jitterMillis;
        learnOfEvacuation();
        mostMovingKeys = 0;
        long learntMillis = simulation.nowMillis;
        while (!ranges().stream().allMatch(this::isGone) && simulation.nowMillis < learntMillis + 6_000) {
            run(STEP_MILLIS);
        }
        assertThat(simulation.nowMillis - learntMillis)
                .as("most keys moving at a time: %s", mostMovingKeys)
                .isLessThan(CLOSED_AFTER_MILLIS - KNOWN_AFTER_MILLIS - 250);
        assertThat(mostMovingKeys).isLessThan(KeyRange.ALL.size() / 6);
        run(1_000);
        assertThat(loadRatio()).isLessThan(1.5);
        assertThat(simulation.violations).isEmpty();
        assertThat(simulation.prematureGrants).isEmpty();
    }

    /**
     * Guards against an evacuation that ends with the leader that began it, and against orders to evacuated servers after their
     * deadline from the next leader, which is recorded two seconds later.
     */
    @Test
    void nextLeaderMovesTheRestAndTheDeadlineHolds() {
        simulation.addVm("b");
        run(1_000);
        learnOfEvacuation();
        long closedMillis = simulation.nowMillis + CLOSED_AFTER_MILLIS - KNOWN_AFTER_MILLIS;
        List<Long> orderedMillis = new ArrayList<>();
        simulation.grantFate = (vm, grant) -> {
            if (evacuatedServers.contains(grant.server())) {
                orderedMillis.add(simulation.nowMillis);
            }
            return Optional.empty();
        };
        simulation.releaseFate = (vm, release) -> {
            orderedMillis.add(simulation.nowMillis);
            return Optional.empty();
        };
        run(800);
        simulation.stoppedVms.add("a");
        long leftBefore = ranges().stream().filter(range -> !isGone(range)).count();
        assertThat(leftBefore).isBetween(1L, (long) RANGES / 3 - 1);
        run(2_000);
        simulation.leaderCandidate = "b";
        // No release is sent after the deadline, so the next leader waits until no grant of the former one can be in
        // force.
        long latestMillis = simulation.nowMillis
                + RangeSimulation.TIMES.heldUntilMillis(
                        RangeSimulation.TIMES.maxStoreSilenceMillis() + MAX_CALL_DELIVERY_MILLIS)
                + 1_000;
        while (!ranges().stream().allMatch(this::isGone) && simulation.nowMillis < latestMillis) {
            run(STEP_MILLIS);
        }
        assertThat(ranges()).allMatch(this::isGone);
        assertThat(orderedMillis).isNotEmpty().allMatch(ordered -> ordered <= closedMillis);
        run(1_000);
        assertThat(simulation.servedKeys()).isEqualTo(simulation.checkedKeys());
        assertThat(simulation.violations).isEmpty();
        assertThat(simulation.prematureGrants).isEmpty();
    }

    /** Returns the load of the busiest server relative to the mean; requests are spread evenly over the keys. */
    private double loadRatio() {
        Map<ServerStart, Integer> keysByServer = new TreeMap<>();
        ranges().forEach(ownership ->
                keysByServer.merge(ownership.owner(), ownership.range().size(), Integer::sum));
        double mean = (double) KeyRange.ALL.size() / (SERVERS - evacuatedServers.size());
        return keysByServer.values().stream().mapToInt(Integer::intValue).max().orElseThrow() / mean;
    }

    /** Guards against orders to servers that no server can relieve, after the time in which they take requests. */
    @Test
    void noOrderIsSentAfterTheDeadlineWhenNoServerIsLeft() {
        simulation.ready.clear();
        evacuatedServers.addAll(simulation.servers.keySet());
        List<Long> sentMillis = new ArrayList<>();
        simulation.grantFate = (vm, grant) -> {
            sentMillis.add(simulation.nowMillis);
            return Optional.empty();
        };
        long closedMillis = simulation.nowMillis + 2_000;
        simulation.evacuation = view -> view.withEvacuated(
                Set.of(), simulation.nowMillis >= closedMillis ? simulation.servers.keySet() : Set.of());
        run(6_000);
        assertThat(sentMillis).isNotEmpty().allMatch(sent -> sent < closedMillis);
    }
}
