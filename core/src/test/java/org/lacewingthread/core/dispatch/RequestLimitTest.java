package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
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
 * Load pattern: a server in need names a limit far below the requests that callers send for its keys, over many entry
 * VMs. Runs the dispatchers of all VMs, the leader's permits and the messages between them in virtual time.
 */
class RequestLimitTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId DESK = new ServiceId("desk");
    private static final DataCentreId HERE = new DataCentreId("maras");
    private static final long SERVICE_MILLIS = 100;
    private static final long LENGTH_MILLIS = 40_000;
    /** From here on the limit must be kept: the platform gives 3 s from when it was first named. */
    private static final long SETTLED_MILLIS = 3_000;

    private static final long WINDOW_MILLIS = 4_000;

    private final SplittableRandom random = new SplittableRandom(7);
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final List<Long> arrivals = new ArrayList<>();
    private final PermitIssuer issuer = new PermitIssuer();
    private final List<RequestDispatcher> dispatchers = new ArrayList<>();
    private long nowMillis;
    private long lastNumber;
    private int refused;
    private double limitPerSecond;
    private double lostMessageRatio;
    private boolean leaderSilent;

    private record Task(long atMillis, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return atMillis == other.atMillis
                    ? Long.compare(order, other.order)
                    : Long.compare(atMillis, other.atMillis);
        }
    }

    private static KnownServer server(String id, ServiceId service) {
        ServerEntry entry =
                new ServerEntry(new ServerStart(new ServerId(id), 1), service, "10.0.0.1", 8080, HERE, 4, false, false);
        return new KnownServer(entry, Optional.empty(), Optional.empty());
    }

    private void after(long delayMillis, Runnable action) {
        tasks.add(new Task(nowMillis + delayMillis, ++lastNumber, action));
    }

    private void startVms(int count, List<KnownServer> servers) {
        RangeTable table = RangeTable.EMPTY.withRanges(
                ORDERS,
                List.of(RangeOwnership.settled(KeyRange.ALL, servers.get(0).start())));
        for (int i = 0; i < count; i++) {
            RequestDispatcher dispatcher = new RequestDispatcher(HERE, random.split());
            dispatcher.onTopologyChanged(servers, table, 0);
            dispatcher.onEntryVmCount(count);
            dispatchers.add(dispatcher);
            after(10, () -> tick(dispatcher));
        }
    }

    private void tick(RequestDispatcher dispatcher) {
        apply(dispatcher, dispatcher.reevaluate(nowMillis));
        after(10, () -> tick(dispatcher));
    }

    /** Lets callers send requests at random times, to a VM each; {@code hotShare} of them reach the first VM. */
    private void sendRequests(ServiceId service, double perSecond, double hotShare) {
        RequestDispatcher dispatcher = random.nextDouble() < hotShare
                ? dispatchers.get(0)
                : dispatchers.get(random.nextInt(dispatchers.size()));
        OptionalInt key = service.equals(ORDERS) ? OptionalInt.of(random.nextInt(65_536)) : OptionalInt.empty();
        DispatchRequest request = new DispatchRequest(
                ++lastNumber, service, key, random.nextInt(3), nowMillis + 400, nowMillis + 2_500, Set.of());
        apply(dispatcher, dispatcher.submit(request, nowMillis));
        after(
                Math.max(1, Math.round(-Math.log(random.nextDouble()) * 1_000 / perSecond)),
                () -> sendRequests(service, perSecond, hotShare));
    }

    private void apply(RequestDispatcher dispatcher, List<Decision> decisions) {
        for (Decision decision : decisions) {
            if (decision instanceof Decision.Send send) {
                run(dispatcher, send);
            } else if (decision instanceof Decision.AskPermit ask) {
                exchange(() -> {
                    PermitIssuer.Permit permit = issuer.issue(ask.permitRequest(nowMillis), nowMillis);
                    exchange(() -> apply(
                            dispatcher, dispatcher.onPermit(ask.request().number(), ask.server(), permit, nowMillis)));
                });
            } else {
                refused++;
            }
        }
    }

    /** Delivers a message between VMs, unless it is lost or the leader does not answer. */
    private void exchange(Runnable delivery) {
        if (!leaderSilent && random.nextDouble() >= lostMessageRatio) {
            after(2, delivery);
        }
    }

    private void run(RequestDispatcher dispatcher, Decision.Send send) {
        long sentMillis = nowMillis;
        ServerStart server = send.server().start();
        boolean limited = server.server().value().equals("limited");
        if (limited) {
            arrivals.add(nowMillis);
        }
        after(SERVICE_MILLIS, () -> {
            if (limited && limitPerSecond > 0) {
                dispatcher.onLimitNamed(server, new NamedLimit(limitPerSecond), nowMillis);
            } else if (dispatcher.onNoLimitNamed(server, sentMillis)) {
                exchange(() -> issuer.onLimitEnded(server, nowMillis));
            }
            apply(
                    dispatcher,
                    dispatcher.onAttemptEnded(
                            send, AttemptResult.ANSWERED, SERVICE_MILLIS, Optional.empty(), nowMillis));
        });
    }

    private void runUntil(long endMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        nowMillis = endMillis;
    }

    private long arrivalsBetween(long fromMillis, long toMillis) {
        return arrivals.stream().filter(at -> at >= fromMillis && at < toMillis).count();
    }

    private long mostArrivalsInAWindow() {
        return arrivals.stream()
                .filter(at -> at >= SETTLED_MILLIS)
                .mapToLong(at -> arrivalsBetween(at, at + WINDOW_MILLIS))
                .max()
                .orElse(0);
    }

    private long allowedInAWindow() {
        return (long) Math.floor(1.5 * limitPerSecond * WINDOW_MILLIS / 1_000 + 5);
    }

    /** Guards against limits that each VM keeps for itself, so that all together send several times as much. */
    @ParameterizedTest
    @CsvSource({"2.1, 12, 0", "0.4, 12, 0", "2.1, 67, 0", "10, 12, 0.9", "2.5, 12, 0.9", "0.4, 3, 1"})
    void vmsTogetherKeepTheLimitOfAnOwnerOfKeys(double perSecond, int vms, double hotShare) {
        limitPerSecond = perSecond;
        startVms(vms, List.of(server("limited", ORDERS)));
        sendRequests(ORDERS, 40, hotShare);
        runUntil(LENGTH_MILLIS);
        assertThat(mostArrivalsInAWindow()).isLessThanOrEqualTo(allowedInAWindow());
        long settledSeconds = (LENGTH_MILLIS - SETTLED_MILLIS) / 1_000;
        // The limit is used, wherever the requests arrive.
        assertThat(arrivalsBetween(SETTLED_MILLIS, LENGTH_MILLIS))
                .isGreaterThan((long) (settledSeconds * perSecond * 0.8));
        assertThat(dispatchers.stream()
                        .mapToInt(RequestDispatcher::waitingCount)
                        .sum())
                .isLessThan(vms);
    }

    /** Guards against losing the limit, or the server, when messages between VMs are lost or nobody leads. */
    @ParameterizedTest
    @CsvSource({"0.3, false", "1, false", "0, true"})
    void vmsKeepTheLimitWithoutTheLeadersAnswers(double lost, boolean silent) {
        limitPerSecond = 2.1;
        lostMessageRatio = lost;
        leaderSilent = silent;
        startVms(12, List.of(server("limited", ORDERS)));
        sendRequests(ORDERS, 40, 0);
        runUntil(LENGTH_MILLIS);
        assertThat(mostArrivalsInAWindow()).isLessThanOrEqualTo(allowedInAWindow());
        assertThat(arrivalsBetween(SETTLED_MILLIS, LENGTH_MILLIS)).isGreaterThan(20);
    }

    /** Guards against a limited server that keeps callers from others of its service, or is left out for good. */
    @ParameterizedTest
    @CsvSource({"2.1", "0.4"})
    void requestsWithoutKeyGoToOtherServersBeyondTheLimit(double perSecond) {
        limitPerSecond = perSecond;
        startVms(12, List.of(server("limited", DESK), server("other", DESK), server("third", DESK)));
        sendRequests(DESK, 40, 0);
        runUntil(LENGTH_MILLIS);
        assertThat(mostArrivalsInAWindow()).isLessThanOrEqualTo(allowedInAWindow());
        assertThat(arrivalsBetween(SETTLED_MILLIS, LENGTH_MILLIS)).isGreaterThan(3);
        assertThat(refused).isLessThan(20);
    }

    /** Guards against a limit that outlives the server's need. */
    @ParameterizedTest
    @CsvSource({"2.1", "0.4"})
    void allVmsDropTheLimitSoonAfterTheServerEndsIt(double perSecond) {
        limitPerSecond = perSecond;
        startVms(12, List.of(server("limited", ORDERS)));
        sendRequests(ORDERS, 20, 0);
        runUntil(20_000);
        limitPerSecond = 0;
        runUntil(LENGTH_MILLIS);
        int refusedBefore = refused;
        runUntil(LENGTH_MILLIS + 10_000);
        assertThat(arrivalsBetween(LENGTH_MILLIS, LENGTH_MILLIS + 10_000)).isGreaterThan(150);
        assertThat(refused - refusedBefore).isLessThan(10);
    }
}
