package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/**
 * Load pattern: a cold server is asked for far more than it tolerates, over many entry VMs, while leaders are lost and
 * replaced, messages are late or lost, a VM gets no news, and the server restarts or becomes cold again at any moment.
 * Runs the dispatchers of all VMs, the permits of all leaders and the messages between them in virtual time.
 */
class ColdServerRuleTest {
    private static final ServiceId SERVICE = new ServiceId("orders");
    private static final DataCentreId HERE = new DataCentreId("maras");
    private static final int VMS = 60;
    private static final double COLD_PER_SECOND = 3.9;
    private static final ColdServerRule RULE = new ColdServerRule(1.5, 8);
    private static final long LENGTH_MILLIS = 40_000;
    private static final long SERVICE_MILLIS = 150;
    private static final int MAX_CONNECT_MILLIS = 390;
    /** Time within which a VM that gets news learns that a server is cold; nothing can be asked of it before. */
    private static final int MAX_NEWS_MILLIS = 300;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final List<Vm> vms = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private final List<Long> coldKnownSince = new ArrayList<>();
    private final List<Long> warmSince = new ArrayList<>();
    private SplittableRandom random;
    private boolean keyed;
    private double lostMessageRatio;
    private PermitIssuer newestLeader = new PermitIssuer();
    private long leaderSinceMillis;
    private long started = 1;
    private boolean cold;
    private long nowMillis;
    private long lastNumber;

    private record Task(long atMillis, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return atMillis == other.atMillis
                    ? Long.compare(order, other.order)
                    : Long.compare(atMillis, other.atMillis);
        }
    }

    private static final class Vm {
        private final RequestDispatcher dispatcher;
        private PermitIssuer leader;
        private boolean getsNews = true;
        private long newsNumber;

        Vm(RequestDispatcher dispatcher, PermitIssuer leader) {
            this.dispatcher = dispatcher;
            this.leader = leader;
        }
    }

    private void after(long delayMillis, Runnable action) {
        tasks.add(new Task(nowMillis + delayMillis, ++lastNumber, action));
    }

    private void start(long seed, boolean withKeys, double lost) {
        random = new SplittableRandom(seed);
        keyed = withKeys;
        lostMessageRatio = lost;
        for (int i = 0; i < VMS; i++) {
            Vm vm = new Vm(new RequestDispatcher(HERE, random.split()), newestLeader);
            vm.dispatcher.coldServers().setRates(new ColdRates(Map.of(SERVICE, COLD_PER_SECOND)), 0);
            vms.add(vm);
            after(random.nextInt(10), () -> tick(vm));
            after(random.nextInt(500), () -> hearCount(vm));
        }
        tellServers(0);
    }

    private void tick(Vm vm) {
        apply(vm, vm.dispatcher.reevaluate(nowMillis));
        after(10, () -> tick(vm));
    }

    /** Tells a VM how many VMs its leader has heard, which are few in the first second of a leader. */
    private void hearCount(Vm vm) {
        if (vm.leader != null && random.nextDouble() >= lostMessageRatio) {
            long leadingMillis = vm.leader == newestLeader ? nowMillis - leaderSinceMillis : 10_000;
            vm.dispatcher.onEntryVmCount((int) Math.max(1, Math.min(VMS, leadingMillis * VMS / 1_000)));
        }
        after(500, () -> hearCount(vm));
    }

    private void tellServers(long maxDelayMillis) {
        KnownServer limited = server(started, cold);
        // The only server of its service, so that all requests want it; others would take those without key.
        List<KnownServer> servers = List.of(limited);
        RangeTable table =
                RangeTable.EMPTY.withRanges(SERVICE, List.of(RangeOwnership.settled(KeyRange.ALL, limited.start())));
        long number = ++lastNumber;
        for (Vm vm : vms) {
            after(maxDelayMillis == 0 ? 0 : random.nextLong(maxDelayMillis), () -> {
                if (vm.getsNews && number > vm.newsNumber) {
                    vm.newsNumber = number;
                    apply(vm, vm.dispatcher.onTopologyChanged(servers, table, nowMillis));
                }
            });
        }
    }

    private static KnownServer server(long started, boolean cold) {
        ServerEntry entry = new ServerEntry(
                new ServerStart(new ServerId("limited"), started), SERVICE, "10.0.0.1", 8080, HERE, 4, false, cold);
        return new KnownServer(entry, Optional.empty(), Optional.empty());
    }

    private void becomeCold(boolean restarted) {
        if (!cold) {
            cold = true;
            started += restarted ? 1 : 0;
            coldKnownSince.add(nowMillis + (restarted ? 0 : MAX_NEWS_MILLIS + MAX_CONNECT_MILLIS));
            tellServers(MAX_NEWS_MILLIS);
        }
    }

    private void becomeWarm() {
        if (cold) {
            cold = false;
            warmSince.add(nowMillis);
            tellServers(MAX_NEWS_MILLIS);
        }
    }

    /** Replaces the leader after a while; some VMs hear the former one for seconds more, or none. */
    private void loseLeader() {
        PermitIssuer former = newestLeader;
        boolean formerGoesOn = random.nextBoolean();
        vms.forEach(vm -> vm.leader = formerGoesOn ? vm.leader : null);
        after(random.nextInt(3_000), () -> {
            newestLeader = new PermitIssuer();
            leaderSinceMillis = nowMillis;
            PermitIssuer elected = newestLeader;
            for (Vm vm : vms) {
                boolean hearsFormer = formerGoesOn && vm.leader == former && random.nextBoolean();
                after(hearsFormer ? random.nextInt(8_000) : random.nextInt(500), () -> vm.leader = elected);
            }
        });
    }

    private void isolateVm() {
        if (vms.stream().anyMatch(vm -> !vm.getsNews)) {
            return;
        }
        Vm vm = vms.get(random.nextInt(VMS));
        PermitIssuer heard = vm.leader;
        vm.getsNews = false;
        vm.leader = null;
        after(random.nextInt(8_000), () -> {
            vm.getsNews = true;
            vm.leader = heard == null ? newestLeader : heard;
            tellServers(MAX_NEWS_MILLIS);
        });
    }

    private void sendRequests(double perSecond) {
        Vm vm = vms.get(random.nextInt(VMS));
        OptionalInt key = keyed ? OptionalInt.of(random.nextInt(65_536)) : OptionalInt.empty();
        DispatchRequest request = new DispatchRequest(
                ++lastNumber, SERVICE, key, random.nextInt(3), nowMillis + 500, nowMillis + 1_500, Set.of());
        apply(vm, vm.dispatcher.submit(request, nowMillis));
        after(
                Math.max(1, Math.round(-Math.log(random.nextDouble()) * 1_000 / perSecond)),
                () -> sendRequests(perSecond));
    }

    private void apply(Vm vm, List<Decision> decisions) {
        for (Decision decision : decisions) {
            if (decision instanceof Decision.Send send) {
                after(random.nextInt(3) == 0 ? random.nextInt(MAX_CONNECT_MILLIS) : 0, () -> connected(vm, send));
            } else if (decision instanceof Decision.AskPermit ask && vm.leader != null) {
                PermitIssuer asked = vm.leader;
                exchange(() -> {
                    PermitIssuer.Permit permit = asked.issue(ask.permitRequest(nowMillis), nowMillis);
                    exchange(() ->
                            apply(vm, vm.dispatcher.onPermit(ask.request().number(), ask.server(), permit, nowMillis)));
                });
            }
        }
    }

    private void exchange(Runnable delivery) {
        if (random.nextDouble() >= lostMessageRatio) {
            boolean late = random.nextDouble() < lostMessageRatio;
            after(late ? random.nextInt(600) : 1 + random.nextInt(8), delivery);
        }
    }

    private void connected(Vm vm, Decision.Send send) {
        if (!vm.dispatcher.maySend(send, nowMillis)) {
            end(vm, send, AttemptResult.WITHHELD);
            return;
        }
        if (send.server().start().startedUnixMillis() == started) {
            arrivals.add(nowMillis);
        }
        after(SERVICE_MILLIS, () -> end(vm, send, AttemptResult.ANSWERED));
    }

    private void end(Vm vm, Decision.Send send, AttemptResult result) {
        apply(vm, vm.dispatcher.onAttemptEnded(send, result, SERVICE_MILLIS, Optional.empty(), nowMillis));
    }

    private void runUntil(long endMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        nowMillis = endMillis;
    }

    private long mostInASecond(long fromMillis, long toMillis) {
        return arrivals.stream()
                .filter(at -> at >= fromMillis && at < toMillis)
                .mapToLong(at -> arrivals.stream()
                        .filter(other -> other >= at && other < Math.min(toMillis, at + 1_000))
                        .count())
                .max()
                .orElse(0);
    }

    private void assertRuleKept() {
        for (int i = 0; i < coldKnownSince.size(); i++) {
            long endMillis = i < warmSince.size() ? warmSince.get(i) : LENGTH_MILLIS;
            assertThat(mostInASecond(coldKnownSince.get(i), endMillis))
                    .as("arrivals within a second of the cold time from %d to %d ms", coldKnownSince.get(i), endMillis)
                    .isLessThanOrEqualTo((long) Math.floor(RULE.maxInOneSecond(COLD_PER_SECOND)));
        }
    }

    /** Guards against limits that don't hold for all VMs together, or not in the face of these failures. */
    @ParameterizedTest
    @CsvSource({"true, 0", "true, 0.3", "false, 0", "false, 0.3"})
    void noSecondHasMoreRequestsThanAColdServerMayGet(boolean withKeys, double lost) {
        for (long seed = 1; seed <= 12; seed++) {
            tasks.clear();
            vms.clear();
            arrivals.clear();
            coldKnownSince.clear();
            warmSince.clear();
            nowMillis = 0;
            leaderSinceMillis = 0;
            cold = seed % 2 == 0;
            if (cold) {
                coldKnownSince.add(0L);
            }
            start(seed, withKeys, lost);
            after(20, () -> sendRequests(120));
            for (int i = 0; i < 8; i++) {
                after(random.nextLong(LENGTH_MILLIS), () -> becomeCold(random.nextBoolean()));
                after(random.nextLong(LENGTH_MILLIS), random.nextInt(3) == 0 ? this::becomeWarm : () -> {});
                after(random.nextLong(LENGTH_MILLIS), random.nextBoolean() ? this::loseLeader : this::isolateVm);
            }
            runUntil(LENGTH_MILLIS);
            assertRuleKept();
        }
    }

    /** Guards against a limit that leaves a cold server unused, or outlives the cold time. */
    @Test
    void rateOfAColdServerIsUsedAndEndsWithTheColdTime() {
        cold = true;
        start(5, true, 0);
        after(20, () -> sendRequests(40));
        runUntil(20_000);
        long afterTakeover = arrivals.stream().filter(at -> at >= 10_500).count();
        assertThat(afterTakeover).isGreaterThan((long) (9.5 * COLD_PER_SECOND * 0.8));
        assertThat(mostInASecond(0, 20_000)).isLessThanOrEqualTo(8);
        becomeWarm();
        runUntil(21_000);
        arrivals.clear();
        runUntil(LENGTH_MILLIS);
        assertThat(arrivals).hasSizeGreaterThan(380);
    }
}
