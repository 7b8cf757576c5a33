package org.lacewingthread.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
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
 * Entry VMs with a dispatcher each, and servers of one service with slots, a queue and a speed, in virtual time. If the service
 * is keyed, the first class of requests has one key, whose owner never answers what it can't queue.
 */
final class FleetModel {
    private static final ServiceId SERVICE = new ServiceId("pool");
    private static final int SLOTS = 4;
    private static final int QUEUE = 16;
    private static final double SERVICE_MILLIS = 550;
    private static final double KEYED_SERVICE_MILLIS = 181;
    private static final double[] SPEEDS = {0.5, 1.0, 1.0, 1.5};
    private static final int DATA_CENTRES = 4;
    /** Key of a server with the mean speed. */
    private static final int HOT_KEY = DATA_CENTRES;

    private static final long TICK_MILLIS = 20;
    private static final int MAX_ATTEMPTS = 3;

    /** A class of requests with its share of the demand; its priority is its index. */
    record TrafficClass(int priority, double share, long targetMillis, long deadlineMillis) {}

    private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private static final class Server {
        private final double speed;
        private int running;
        private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        private int received;

        private Server(double speed) {
            this.speed = speed;
        }
    }

    private final SplittableRandom random = new SplittableRandom(7);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<RequestDispatcher> vms = new ArrayList<>();
    private final Map<ServerStart, Server> servers = new HashMap<>();
    private final List<TrafficClass> classes;
    private final int[] arrivedByClass;
    private final int[] onTimeByClass;
    private final int[] lateByClass;
    private final int[] unansweredByClass;
    private final boolean keyed;
    private final double serviceMillis;
    private final Set<Long> awaited = new HashSet<>();
    private final double meanGapMillis;
    private double nowMillis;
    private long lastNumber;
    private int receivedTotal;
    private int fullTotal;

    FleetModel(int vmCount, int serverCount, double utilization, List<TrafficClass> classes) {
        this(vmCount, serverCount, utilization, classes, false);
    }

    FleetModel(int vmCount, int serverCount, double utilization, List<TrafficClass> classes, boolean keyed) {
        this.classes = classes;
        this.keyed = keyed;
        serviceMillis = keyed ? KEYED_SERVICE_MILLIS : SERVICE_MILLIS;
        lateByClass = new int[classes.size()];
        unansweredByClass = new int[classes.size()];
        arrivedByClass = new int[classes.size()];
        onTimeByClass = new int[classes.size()];
        double capacityPerMilli = 0;
        List<KnownServer> known = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            ServerStart start = new ServerStart(new ServerId("s" + i), 1);
            DataCentreId dataCentre = new DataCentreId("d" + i % DATA_CENTRES);
            ServerEntry entry = new ServerEntry(start, SERVICE, "10.0.0.1", 8080, dataCentre, SLOTS, false, false);
            servers.put(start, new Server(SPEEDS[i / DATA_CENTRES % SPEEDS.length]));
            capacityPerMilli += SPEEDS[i / DATA_CENTRES % SPEEDS.length] * SLOTS / serviceMillis;
            known.add(new KnownServer(entry, Optional.empty(), Optional.empty()));
        }
        meanGapMillis = 1 / (capacityPerMilli * utilization);
        List<RangeOwnership> owners = new ArrayList<>();
        for (int i = 0; keyed && i < serverCount; i++) {
            int last = i == serverCount - 1 ? KeyRange.MAX_KEY : i;
            owners.add(
                    RangeOwnership.settled(new KeyRange(i, last), known.get(i).start()));
        }
        RangeTable ranges = keyed ? RangeTable.EMPTY.withRanges(SERVICE, owners) : RangeTable.EMPTY;
        for (int i = 0; i < vmCount; i++) {
            RequestDispatcher vm =
                    new RequestDispatcher(new DataCentreId("d" + i % DATA_CENTRES), new SplittableRandom(i));
            vm.onEntryVmCount(vmCount);
            vm.onTopologyChanged(known, ranges, 0);
            vms.add(vm);
            at(random.nextDouble() * TICK_MILLIS, () -> tick(vm));
        }
        at(0, this::arrive);
    }

    /** Lets the given time pass. */
    FleetModel run(long millis) {
        double endMillis = nowMillis + millis;
        while (events.peek().atMillis() < endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        return this;
    }

    /** Returns the share of the requests sent to servers that met a full queue. */
    double fullShare() {
        return (double) fullTotal / receivedTotal;
    }

    /** Returns the share of a class that was answered by its target. */
    double onTimeShare(int index) {
        return (double) onTimeByClass[index] / arrivedByClass[index];
    }

    /** Returns the share of a class that was answered after its target and before its deadline. */
    double lateShare(int index) {
        return (double) lateByClass[index] / arrivedByClass[index];
    }

    /** Returns the share of a class that was sent and not answered by its deadline. */
    double unansweredShare(int index) {
        return (double) unansweredByClass[index] / arrivedByClass[index];
    }

    /** Returns the requests of the busiest server, relative to its speed, over the mean of all servers. */
    double busiestToMean() {
        return servers.values().stream()
                        .mapToDouble(s -> s.received / s.speed)
                        .max()
                        .orElseThrow()
                / servers.values().stream()
                        .mapToDouble(s -> s.received / s.speed)
                        .average()
                        .orElseThrow();
    }

    private void at(double atMillis, Runnable action) {
        events.add(new Event(atMillis, ++lastNumber, action));
    }

    private void tick(RequestDispatcher vm) {
        apply(vm, vm.reevaluate((long) nowMillis));
        at(nowMillis + TICK_MILLIS, () -> tick(vm));
    }

    private void arrive() {
        at(nowMillis - Math.log(1 - random.nextDouble()) * meanGapMillis, this::arrive);
        double left = random.nextDouble();
        int index = 0;
        while (index < classes.size() - 1 && (left -= classes.get(index).share()) >= 0) {
            index++;
        }
        arrivedByClass[index]++;
        TrafficClass type = classes.get(index);
        long now = (long) nowMillis;
        RequestDispatcher vm = vms.get(random.nextInt(vms.size()));
        DispatchRequest request = new DispatchRequest(
                ++lastNumber,
                SERVICE,
                keyed ? OptionalInt.of(index == 0 ? HOT_KEY : random.nextInt(servers.size())) : OptionalInt.empty(),
                type.priority(),
                now + type.targetMillis(),
                now + type.deadlineMillis(),
                Set.of());
        apply(vm, vm.submit(request, now));
    }

    private void apply(RequestDispatcher vm, List<Decision> decisions) {
        decisions.stream()
                .filter(Decision.Send.class::isInstance)
                .map(Decision.Send.class::cast)
                .forEach(send -> receive(vm, send, servers.get(send.server().start())));
    }

    private void receive(RequestDispatcher vm, Decision.Send send, Server server) {
        server.received++;
        receivedTotal++;
        double sentMillis = nowMillis;
        if (keyed) {
            awaited.add(send.request().number());
            at(nowMillis + TICK_MILLIS, () -> awaitAnswer(vm, send, sentMillis, false));
        }
        if (server.running < SLOTS) {
            start(vm, send, server, sentMillis);
        } else if (server.queue.size() < QUEUE) {
            server.queue.add(() -> start(vm, send, server, sentMillis));
        } else {
            fullTotal++;
            if (!keyed) {
                end(vm, send, AttemptResult.REJECTED, sentMillis, Optional.of(new LoadReport(SLOTS, QUEUE, SLOTS)));
            }
        }
    }

    private void awaitAnswer(RequestDispatcher vm, Decision.Send send, double sentMillis, boolean overdue) {
        if (!awaited.contains(send.request().number())) {
            return;
        }
        if (nowMillis >= send.request().deadlineMillis()) {
            unansweredByClass[send.request().priority()]++;
            end(vm, send, AttemptResult.ABANDONED, sentMillis, Optional.empty());
            return;
        }
        boolean isOverdue = overdue || vm.overdueAttempts().isOverdue(send, nowMillis - sentMillis);
        if (isOverdue && !overdue) {
            vm.overdueAttempts().onAwaited(send, (long) nowMillis);
        }
        at(nowMillis + TICK_MILLIS, () -> awaitAnswer(vm, send, sentMillis, isOverdue));
    }

    private void start(RequestDispatcher vm, Decision.Send send, Server server, double sentMillis) {
        server.running++;
        double workMillis = serviceMillis / server.speed * (0.6 + 0.8 * random.nextDouble());
        at(nowMillis + workMillis, () -> {
            server.running--;
            Optional.ofNullable(server.queue.poll()).ifPresent(Runnable::run);
            end(
                    vm,
                    send,
                    AttemptResult.ANSWERED,
                    sentMillis,
                    Optional.of(new LoadReport(server.running, server.queue.size(), SLOTS)));
        });
    }

    private void end(
            RequestDispatcher vm,
            Decision.Send send,
            AttemptResult result,
            double sentMillis,
            Optional<LoadReport> load) {
        long now = (long) nowMillis;
        DispatchRequest request = send.request();
        if (keyed && !awaited.remove(request.number())) {
            return;
        }
        if (result == AttemptResult.ANSWERED) {
            int[] byClass = now <= request.targetAtMillis() ? onTimeByClass : lateByClass;
            byClass[request.priority()]++;
        }
        apply(vm, vm.onAttemptEnded(send, result, nowMillis - sentMillis, load, now));
        if (!keyed && result != AttemptResult.ANSWERED && request.triedServers().size() < MAX_ATTEMPTS - 1) {
            Set<ServerId> tried = new HashSet<>(request.triedServers());
            tried.add(send.server().start().server());
            apply(
                    vm,
                    vm.submit(
                            new DispatchRequest(
                                    ++lastNumber,
                                    SERVICE,
                                    request.key(),
                                    request.priority(),
                                    request.targetAtMillis(),
                                    request.deadlineMillis(),
                                    tried),
                            now));
        }
    }
}
