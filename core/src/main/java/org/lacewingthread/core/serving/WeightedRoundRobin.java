package org.lacewingthread.core.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.ServiceId;

/**
 * Spreads the requests of split routes by weight. Smooth weighted round robin keeps each part within
 * one request of its share, so a low rate does not distort the shares.
 */
public final class WeightedRoundRobin {
    private final Map<String, State> statesByRoute = new HashMap<>();

    private static final class State {
        private final List<WeightedService> parts;
        private final double[] currentWeights;

        private State(List<WeightedService> parts) {
            this.parts = parts;
            this.currentWeights = new double[parts.size()];
        }
    }

    /** Returns the service that takes the route's next request. */
    public ServiceId next(Route route) {
        List<WeightedService> parts = route.parts();
        if (parts.size() == 1) {
            return parts.get(0).service();
        }
        State turn = statesByRoute.get(route.name());
        if (turn == null || !turn.parts.equals(parts)) {
            turn = new State(parts);
            statesByRoute.put(route.name(), turn);
        }
        return next(turn);
    }

    private static ServiceId next(State turn) {
        double total = 0;
        int chosen = 0;
        for (int i = 0; i < turn.currentWeights.length; i++) {
            double weight = turn.parts.get(i).weight();
            turn.currentWeights[i] += weight;
            total += weight;
            if (turn.currentWeights[i] > turn.currentWeights[chosen]) {
                chosen = i;
            }
        }
        turn.currentWeights[chosen] -= total;
        return turn.parts.get(chosen).service();
    }
}
