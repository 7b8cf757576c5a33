package org.lacewingthread.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

/** Chooses the server with the shortest expected response time; prefers servers of the own data centre. */
final class ServerChooser {
    /** Added to the expected time of a server in another data centre, so that local servers win ties. */
    private static final double REMOTE_PENALTY_MILLIS = 40;
    /** A local server is preferred if this multiple of its expected time fits before the target. */
    private static final double LOCAL_PREFERENCE_FACTOR = 1.5;
    /** Width of the random factor that keeps entry VMs from all choosing the same server. */
    private static final double JITTER_RATIO = 0.3;

    /**
     * Share of the servers' rate that all entry VMs together may send beyond their subsets; they know little of the load there, so
     * more would fill queues.
     */
    private static final double OUTSIDE_RATIO = 0.1;

    private final DataCentreId dataCentre;
    private final RandomGenerator random;
    private final ServerSubset subset;
    private int entryVmCount = 1;
    private double nextOutsideMillis = Long.MIN_VALUE / 2.0;

    ServerChooser(DataCentreId dataCentre, RandomGenerator random) {
        this(dataCentre, random, new ServerSubset(dataCentre, random.nextLong()));
    }

    private ServerChooser(DataCentreId dataCentre, RandomGenerator random, ServerSubset subset) {
        this.dataCentre = dataCentre;
        this.random = random;
        this.subset = subset;
    }

    /** Returns a chooser with the present state and other random numbers, whose choices have no effect on this one. */
    ServerChooser copy(RandomGenerator otherRandom) {
        ServerChooser copy = new ServerChooser(dataCentre, otherRandom, subset);
        copy.entryVmCount = entryVmCount;
        copy.nextOutsideMillis = nextOutsideMillis;
        return copy;
    }

    void setEntryVmCount(int count) {
        entryVmCount = count;
        subset.setEntryVmCount(count);
    }

    /** Forgets the servers that are no longer known. */
    void retain(Collection<ServerStart> known) {
        subset.retain(known.stream().map(ServerStart::server).toList());
    }

    /**
     * Chooses a server for one request: one of the VM's subset, or another one while none of the subset has room.
     *
     * @param candidates servers to choose from; at least one
     * @param targetAtMillis time up to which a response is prompt
     * @param aheadByServer requests that will be sent before this one
     */
    ServerLoadState choose(
            List<ServerLoadState> candidates,
            long targetAtMillis,
            Map<ServerId, Integer> aheadByServer,
            long nowMillis) {
        List<ServerLoadState> preferred = subset.of(candidates);
        boolean mayLeave = preferred.size() < candidates.size()
                && nowMillis >= nextOutsideMillis
                && preferred.stream().noneMatch(state -> hasRoom(state, aheadByServer, nowMillis));
        if (mayLeave) {
            List<ServerLoadState> outside = candidates.stream()
                    .filter(state -> hasRoom(state, aheadByServer, nowMillis))
                    .toList();
            if (!outside.isEmpty()) {
                ServerLoadState chosen = betterOfTwo(outside, nowMillis);
                double intervalMillis = chosen.serviceMillis()
                        * entryVmCount
                        / Math.max(1, chosen.entry().slots())
                        / candidates.size()
                        / OUTSIDE_RATIO;
                nextOutsideMillis = nowMillis + intervalMillis;
                return chosen;
            }
        }
        return chooseOf(preferred, targetAtMillis, aheadByServer, nowMillis);
    }

    private static boolean hasRoom(ServerLoadState state, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        return !aheadByServer.containsKey(state.entry().start().server()) && state.hasCapacity(nowMillis);
    }

    /** Returns the faster one of two random servers, since all VMs would choose the same best one of all. */
    private ServerLoadState betterOfTwo(List<ServerLoadState> states, long nowMillis) {
        ServerLoadState first = states.get(random.nextInt(states.size()));
        ServerLoadState second = states.get(random.nextInt(states.size()));
        return first.expectedMillis(0, nowMillis) <= second.expectedMillis(0, nowMillis) ? first : second;
    }

    private ServerLoadState chooseOf(
            List<ServerLoadState> candidates,
            long targetAtMillis,
            Map<ServerId, Integer> aheadByServer,
            long nowMillis) {
        Map<ServerLoadState, Double> expected = new HashMap<>();
        candidates.forEach(state -> expected.put(state, expectedMillis(state, aheadByServer, nowMillis)));
        List<ServerLoadState> local = candidates.stream().filter(this::isLocal).toList();
        ServerLoadState best = fastest(candidates, expected);
        if (local.isEmpty()) {
            return best;
        }
        ServerLoadState bestLocal = fastest(local, expected);
        double leftMillis = targetAtMillis - nowMillis;
        return expected.get(bestLocal) * LOCAL_PREFERENCE_FACTOR <= leftMillis ? bestLocal : best;
    }

    private static ServerLoadState fastest(List<ServerLoadState> states, Map<ServerLoadState, Double> expected) {
        return states.stream().min(Comparator.comparingDouble(expected::get)).orElseThrow();
    }

    private double expectedMillis(ServerLoadState state, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        int ahead = aheadByServer.getOrDefault(state.entry().start().server(), 0);
        double coldPenalty = state.entry().cold() ? state.serviceMillis() : 0;
        double spread = 1 + JITTER_RATIO * (random.nextDouble() - 0.5);
        double remotePenalty = isLocal(state) ? 0 : REMOTE_PENALTY_MILLIS;
        double fullPenalty = state.hasCapacity(nowMillis) ? 0 : state.serviceMillis();
        return (state.expectedMillis(ahead, nowMillis) + coldPenalty) * spread + remotePenalty + fullPenalty;
    }

    private boolean isLocal(ServerLoadState state) {
        return state.entry().dataCentre().equals(dataCentre);
    }
}
