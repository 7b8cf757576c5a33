package org.lacewingthread.core.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.ServiceId;

/**
 * Distributes the requests of a route among its services by smooth weighted round robin. It keeps each
 * service within one request of its share, so that the shares hold at low request rates too.
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

    /** Returns the service for the next request of a route. */
    public ServiceId next(Route route) {
        List<WeightedService> parts = route.parts();
        if (parts.size() == 1) {
            return parts.get(0).service();
        }
        State state = state(route);
        statesByRoute.put(route.name(), state);
        return next(state);
    }

    /** Returns the service for the next request of a route without counting a request. */
    public ServiceId peek(Route route) {
        State copy = new State(route.parts());
        double[] weights = state(route).currentWeights;
        System.arraycopy(weights, 0, copy.currentWeights, 0, weights.length);
        return next(copy);
    }

    private State state(Route route) {
        State state = statesByRoute.get(route.name());
        return state == null || !state.parts.equals(route.parts()) ? new State(route.parts()) : state;
    }

    private static ServiceId next(State state) {
        double total = 0;
        int chosen = 0;
        for (int i = 0; i < state.currentWeights.length; i++) {
            double weight = state.parts.get(i).weight();
            state.currentWeights[i] += weight;
            total += weight;
            if (state.currentWeights[i] > state.currentWeights[chosen]) {
                chosen = i;
            }
        }
        state.currentWeights[chosen] -= total;
        return state.parts.get(chosen).service();
    }
}
