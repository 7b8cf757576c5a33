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
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** Entry VMs with a dispatcher each, and servers of one unkeyed service with slots, a queue and a speed, in virtual time. */
final class FleetModel {
    private static final ServiceId SERVICE = new ServiceId("pool");
    private static final int SLOTS = 4;
    private static final int QUEUE = 16;
    private static final double SERVICE_MILLIS = 550;
    private static final double[] SPEEDS = {0.5, 1.0, 1.0, 1.5};
    private static final int DATA_CENTRES = 4;
    private static final long TICK_MILLIS = 20;
    private static final int MAX_ATTEMPTS = 3;

    /** A class of requests with its share of the demand. */
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
    private final double meanGapMillis;
    private double nowMillis;
    private long lastNumber;
    private int receivedTotal;
    private int fullTotal;

    FleetModel(int vmCount, int serverCount, double utilization, List<TrafficClass> classes) {
        this.classes = classes;
        arrivedByClass = new int[classes.size()];
        onTimeByClass = new int[classes.size()];
        double capacityPerMilli = 0;
        List<KnownServer> known = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            ServerStart start = new ServerStart(new ServerId("s" + i), 1);
            DataCentreId dataCentre = new DataCentreId("d" + i % DATA_CENTRES);
            ServerEntry entry = new ServerEntry(start, SERVICE, "10.0.0.1", 8080, dataCentre, SLOTS, false, false);
            servers.put(start, new Server(SPEEDS[i / DATA_CENTRES % SPEEDS.length]));
            capacityPerMilli += SPEEDS[i / DATA_CENTRES % SPEEDS.length] * SLOTS / SERVICE_MILLIS;
            known.add(new KnownServer(entry, Optional.empty(), Optional.empty()));
        }
        meanGapMillis = 1 / (capacityPerMilli * utilization);
        for (int i = 0; i < vmCount; i++) {
            RequestDispatcher vm =
                    new RequestDispatcher(new DataCentreId("d" + i % DATA_CENTRES), new SplittableRandom(i));
            vm.onEntryVmCount(vmCount);
            vm.onTopologyChanged(known, RangeTable.EMPTY, 0);
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
                OptionalInt.empty(),
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
        if (server.running < SLOTS) {
            start(vm, send, server, sentMillis);
        } else if (server.queue.size() < QUEUE) {
            server.queue.add(() -> start(vm, send, server, sentMillis));
        } else {
            fullTotal++;
            end(vm, send, AttemptResult.REJECTED, sentMillis, Optional.of(new LoadReport(SLOTS, QUEUE, SLOTS)));
        }
    }

    private void start(RequestDispatcher vm, Decision.Send send, Server server, double sentMillis) {
        server.running++;
        double workMillis = SERVICE_MILLIS / server.speed * (0.6 + 0.8 * random.nextDouble());
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
        if (result == AttemptResult.ANSWERED && now <= request.targetAtMillis()) {
            for (int i = 0; i < classes.size(); i++) {
                onTimeByClass[i] += classes.get(i).priority() == request.priority() ? 1 : 0;
            }
        }
        apply(vm, vm.onAttemptEnded(send, result, nowMillis - sentMillis, load, now));
        if (result != AttemptResult.ANSWERED && request.triedServers().size() < MAX_ATTEMPTS - 1) {
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
