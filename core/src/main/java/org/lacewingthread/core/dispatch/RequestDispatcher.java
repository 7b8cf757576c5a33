package org.lacewingthread.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/**
 * Chooses a server for each request: the owner of its key, or the server that is expected to answer
 * first. Requests for which no server has room wait here, the most urgent first, and are refused as
 * soon as no server can answer them in time.
 *
 * <pre>{@code
 * for (Decision decision : dispatcher.submit(request, nowMillis)) { ... }
 * ...
 * for (Decision decision : dispatcher.onEnded(server, result, elapsedMillis, report, nowMillis)) { ... }
 * }</pre>
 *
 * <p>Times are milliseconds of a steady clock.
 */
public final class RequestDispatcher {
    /** Requests above a server's slots that it should have at most; the rest waits here by rank. */
    private static final int MAX_QUEUED_AT_SERVER = 2;
    /** Places of a server's own queue that are counted on when this VM has nothing at the server. */
    private static final int MAX_QUEUED_BY_OTHER_VMS = 3;
    /** Requests of one service that may wait here. */
    private static final int MAX_WAITING_REQUESTS = 400;
    /** Added to the expected time of a server in another data centre, so that near servers win ties. */
    private static final double REMOTE_PENALTY_MILLIS = 40;
    /** A server in this data centre is taken if this many times its expected time fit before the target. */
    private static final double LOCAL_PREFERENCE_FACTOR = 1.5;
    /** Spread of the random factor that keeps entry VMs from all choosing the same server. */
    private static final double JITTER_RATIO = 0.3;
    /** How long a server that is leaving may still get requests for keys that it owns. */
    private static final long LEAVING_OWNER_GRACE_MILLIS = 1_000;
    /** Shortest and longest time after which a refused caller is asked to return. */
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;
    /** A request whose key has no owner is refused this long before an answer stops being prompt. */
    private static final long NO_OWNER_REFUSAL_MARGIN_MILLIS = 100;
    /** When a caller may return whose key had no owner; about the time of a move. */
    private static final long NO_OWNER_RETRY_AFTER_MILLIS = 300;
    /** Share of the time left that may be spent waiting; a refused caller can use the rest elsewhere or later. */
    private static final double MAX_WAIT_RATIO = 0.85;
    /** Share of a service time that has to be left for a request to be worth sending. */
    private static final double MIN_REMAINING_SERVICE_RATIO = 0.5;

    private static final Comparator<DispatchRequest> MOST_URGENT_FIRST = Comparator.comparingInt(
                    DispatchRequest::priority)
            .thenComparingLong(DispatchRequest::deadlineMillis)
            .thenComparingLong(DispatchRequest::number);

    private final DataCentreId dataCentre;
    private final RandomGenerator random;
    private final Map<ServerStart, ServerLoadState> servers = new HashMap<>();
    private final Map<ServiceId, List<ServerLoadState>> serversByService = new HashMap<>();
    private final Map<ServiceId, TreeSet<DispatchRequest>> waitingByService = new HashMap<>();
    private RangeTable rangeTable = RangeTable.EMPTY;
    private Map<ServiceId, Integer> connectionLimits = Map.of();

    /**
     * Creates a dispatcher that knows no servers.
     *
     * @param dataCentre where this entry VM runs
     * @param random seeded source of the spread among equal servers
     */
    public RequestDispatcher(DataCentreId dataCentre, RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.random = random;
    }

    /** Takes in the known servers and the owners of keys. */
    public List<Decision> onTopologyChanged(List<KnownServer> known, RangeTable ranges, long nowMillis) {
        rangeTable = ranges;
        serversByService.clear();
        Map<ServerStart, ServerLoadState> former = new HashMap<>(servers);
        servers.clear();
        for (KnownServer server : known) {
            ServerLoadState state = former.getOrDefault(server.start(), new ServerLoadState(server));
            state.update(server);
            applyConnectionLimit(state);
            servers.put(server.start(), state);
            serversByService
                    .computeIfAbsent(server.entry().service(), service -> new ArrayList<>())
                    .add(state);
        }
        return reevaluate(nowMillis);
    }

    /**
     * Takes in how many connections this entry VM may have to each server of a service.
     *
     * @param limitByService services that are missing have no limit
     */
    public void onConnectionLimits(Map<ServiceId, Integer> limitByService) {
        connectionLimits = Map.copyOf(limitByService);
        servers.values().forEach(this::applyConnectionLimit);
    }

    private void applyConnectionLimit(ServerLoadState state) {
        state.setConnectionLimit(connectionLimits.getOrDefault(state.entry().service(), Integer.MAX_VALUE));
    }

    /** Takes in a request; the decisions may concern others that wait as well. */
    public List<Decision> submit(DispatchRequest request, long nowMillis) {
        TreeSet<DispatchRequest> queue =
                waitingByService.computeIfAbsent(request.service(), s -> new TreeSet<>(MOST_URGENT_FIRST));
        queue.add(request);
        List<Decision> decisions = new ArrayList<>();
        decide(request.service(), decisions, nowMillis);
        if (queue.size() > MAX_WAITING_REQUESTS) {
            DispatchRequest last = queue.pollLast();
            decisions.add(new Decision.Refuse(last, RefusalCause.OVERLOADED, MAX_RETRY_AFTER_MILLIS));
        }
        return decisions;
    }

    /** Forgets a request that waits; its caller left. */
    public void cancel(DispatchRequest request) {
        TreeSet<DispatchRequest> queue = waitingByService.get(request.service());
        if (queue != null) {
            queue.remove(request);
        }
    }

    /** Takes in the end of an attempt that a {@link Decision.Send} began. */
    public List<Decision> onAttemptEnded(
            Decision.Send offer,
            AttemptResult result,
            double elapsedMillis,
            Optional<LoadReport> report,
            long nowMillis) {
        ServerLoadState state = servers.get(offer.server().start());
        if (state != null) {
            state.onEnded(result, elapsedMillis, report, nowMillis);
        }
        List<Decision> decisions = new ArrayList<>();
        decide(offer.request().service(), decisions, nowMillis);
        return decisions;
    }

    /** Decides anew about all that wait. */
    public List<Decision> reevaluate(long nowMillis) {
        List<Decision> decisions = new ArrayList<>();
        for (ServiceId service : List.copyOf(waitingByService.keySet())) {
            decide(service, decisions, nowMillis);
        }
        return decisions;
    }

    /** Returns how many requests wait. */
    public int waitingCount() {
        return waitingByService.values().stream().mapToInt(TreeSet::size).sum();
    }

    /** Returns the service time of a server as measured here, in milliseconds. */
    public Optional<Double> serviceMillis(ServerStart server) {
        return Optional.ofNullable(servers.get(server)).map(ServerLoadState::serviceMillis);
    }

    private void decide(ServiceId service, List<Decision> decisions, long nowMillis) {
        TreeSet<DispatchRequest> queue = waitingByService.get(service);
        if (queue == null || queue.isEmpty()) {
            return;
        }
        Map<ServerId, Integer> aheadByServer = new HashMap<>();
        for (DispatchRequest request : dispatchOrder(queue, nowMillis)) {
            Optional<Decision> decision = decide(request, aheadByServer, nowMillis);
            if (decision.isPresent()) {
                queue.remove(request);
                decisions.add(decision.get());
            }
        }
    }

    /**
     * Requests that would be late anyway come after those that can still be answered promptly. Of the
     * latter, an overloaded owner gets the newest first: with the oldest first all would be late.
     */
    private List<DispatchRequest> dispatchOrder(Set<DispatchRequest> queue, long nowMillis) {
        List<DispatchRequest> prompt = new ArrayList<>();
        List<DispatchRequest> late = new ArrayList<>();
        queue.forEach(request -> (canMeetTarget(request, nowMillis) ? prompt : late).add(request));
        prompt.sort(Comparator.comparingInt(DispatchRequest::priority).thenComparingLong(request -> owner(request)
                .filter(ServerLoadState::isThrottled)
                .map(paced -> -request.number())
                .orElse(request.deadlineMillis())));
        prompt.addAll(late);
        return prompt;
    }

    private boolean canMeetTarget(DispatchRequest request, long nowMillis) {
        double workMillis =
                owner(request).map(state -> state.expectedMillis(0, nowMillis)).orElse(0.0);
        return nowMillis + workMillis <= request.targetAtMillis();
    }

    private Optional<ServerLoadState> owner(DispatchRequest request) {
        return request.key().isEmpty()
                ? Optional.empty()
                : rangeTable
                        .find(request.service(), request.key().getAsInt())
                        .map(ownership -> servers.get(ownership.owner()));
    }

    private Optional<Decision> decide(DispatchRequest request, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        if (nowMillis >= request.deadlineMillis()) {
            return refuse(request, RefusalCause.DEADLINE_PASSED, MIN_RETRY_AFTER_MILLIS);
        }
        return request.key().isPresent()
                ? decideKeyed(request, aheadByServer, nowMillis)
                : decideUnkeyed(request, aheadByServer, nowMillis);
    }

    private Optional<Decision> decideKeyed(
            DispatchRequest request, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        Optional<RangeOwnership> ownership =
                rangeTable.find(request.service(), request.key().getAsInt());
        if (ownership.isEmpty() || ownership.get().isMoving()) {
            boolean patient = nowMillis < request.targetAtMillis() - NO_OWNER_REFUSAL_MARGIN_MILLIS;
            return patient ? Optional.empty() : refuse(request, RefusalCause.NO_OWNER, NO_OWNER_RETRY_AFTER_MILLIS);
        }
        ServerLoadState owner = servers.get(ownership.get().owner());
        if (owner == null || owner.isReplaced() || !acceptsOwnedKeys(owner.knownServer(), nowMillis)) {
            return refuse(request, RefusalCause.OWNER_GONE, NO_OWNER_RETRY_AFTER_MILLIS);
        }
        // An owner that breaks connections off may only be full, and nobody else can run the request.
        if (owner.isUnreachable(nowMillis)) {
            return refuse(request, RefusalCause.OWNER_UNREACHABLE, NO_OWNER_RETRY_AFTER_MILLIS);
        }
        int ahead = aheadByServer.getOrDefault(owner.entry().start().server(), 0);
        return decideForServer(request, owner, ahead, aheadByServer, nowMillis);
    }

    private static boolean acceptsOwnedKeys(KnownServer server, long nowMillis) {
        return server.leavingSinceMillis()
                .map(since -> nowMillis < since + LEAVING_OWNER_GRACE_MILLIS)
                .orElse(true);
    }

    private Optional<Decision> decideUnkeyed(
            DispatchRequest request, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        List<ServerLoadState> ready = serversByService.getOrDefault(request.service(), List.of()).stream()
                .filter(state -> state.knownServer().isReady() && !state.isReplaced())
                .toList();
        if (ready.isEmpty()) {
            return refuse(request, RefusalCause.NO_SERVER, NO_OWNER_RETRY_AFTER_MILLIS);
        }
        List<ServerLoadState> healthy = ready.stream()
                .filter(state -> !state.isEjected(nowMillis))
                .filter(state ->
                        !request.triedServers().contains(state.entry().start().server()))
                .toList();
        List<ServerLoadState> candidates = healthy.isEmpty() ? ready : healthy;
        List<ServerLoadState> near = candidates.stream()
                .filter(state -> state.entry().dataCentre().equals(dataCentre))
                .toList();
        Map<ServerLoadState, Double> expected = new HashMap<>();
        candidates.forEach(state -> expected.put(state, expectedMillis(state, aheadByServer, nowMillis)));
        ServerLoadState best = fastest(candidates, expected);
        if (!near.isEmpty()) {
            ServerLoadState bestNear = fastest(near, expected);
            double leftMillis = request.targetAtMillis() - nowMillis;
            best = expected.get(bestNear) * LOCAL_PREFERENCE_FACTOR <= leftMillis ? bestNear : best;
        }
        int ahead = aheadByServer.getOrDefault(best.entry().start().server(), 0);
        return decideForServer(request, best, ahead, aheadByServer, nowMillis);
    }

    private static ServerLoadState fastest(List<ServerLoadState> states, Map<ServerLoadState, Double> expected) {
        return states.stream().min(Comparator.comparingDouble(expected::get)).orElseThrow();
    }

    private double expectedMillis(ServerLoadState state, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        int ahead = aheadByServer.getOrDefault(state.entry().start().server(), 0);
        double expected = state.expectedMillis(ahead, nowMillis) + coldPenaltyMillis(state);
        double spread = 1 + JITTER_RATIO * (random.nextDouble() - 0.5);
        double remote = state.entry().dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY_MILLIS;
        boolean full = !state.hasCapacity(MAX_QUEUED_AT_SERVER, MAX_QUEUED_BY_OTHER_VMS, nowMillis);
        return expected * spread + remote + (full ? state.serviceMillis() : 0);
    }

    private static double coldPenaltyMillis(ServerLoadState state) {
        return state.entry().cold() ? state.serviceMillis() : 0;
    }

    private Optional<Decision> decideForServer(
            DispatchRequest request,
            ServerLoadState state,
            int ahead,
            Map<ServerId, Integer> aheadByServer,
            long nowMillis) {
        double expected = state.expectedMillis(ahead, nowMillis);
        double leftMillis = request.deadlineMillis() - nowMillis;
        double waitMillis = Math.max(expected - state.serviceMillis(), ahead * state.sendIntervalMillis());
        boolean hopeless = leftMillis < state.serviceMillis() * MIN_REMAINING_SERVICE_RATIO
                || waitMillis > leftMillis * MAX_WAIT_RATIO;
        if (hopeless) {
            long retryAfter = Math.round(Math.max(0, waitMillis));
            return refuse(request, RefusalCause.OVERLOADED, retryAfter);
        }
        if (ahead == 0 && state.hasCapacity(MAX_QUEUED_AT_SERVER, MAX_QUEUED_BY_OTHER_VMS, nowMillis)) {
            state.onSent(nowMillis);
            return Optional.of(new Decision.Send(request, state.entry(), Math.round(expected)));
        }
        aheadByServer.merge(state.entry().start().server(), 1, Integer::sum);
        return Optional.empty();
    }

    private static Optional<Decision> refuse(DispatchRequest request, RefusalCause cause, long retryAfterMillis) {
        long bounded = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, retryAfterMillis));
        return Optional.of(new Decision.Refuse(request, cause, bounded));
    }
}
