package org.lacewingthread.core.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.ServiceId;

/**
 * Spreads the requests of split routes by weight. Smooth weighted round robin keeps each part within
 * one request of its share, so a low rate does not distort the shares.
 */
public final class SplitChooser {
    private final Map<String, Turn> turnsByRoute = new HashMap<>();

    private static final class Turn {
        private final List<WeightedService> parts;
        private final double[] credit;

        private Turn(List<WeightedService> parts) {
            this.parts = parts;
            this.credit = new double[parts.size()];
        }
    }

    /** Returns the service that takes the route's next request. */
    public ServiceId next(Route route) {
        List<WeightedService> parts = route.parts();
        if (parts.size() == 1) {
            return parts.get(0).service();
        }
        Turn turn = turnsByRoute.get(route.name());
        if (turn == null || !turn.parts.equals(parts)) {
            turn = new Turn(parts);
            turnsByRoute.put(route.name(), turn);
        }
        return next(turn);
    }

    private static ServiceId next(Turn turn) {
        double total = 0;
        int chosen = 0;
        for (int i = 0; i < turn.credit.length; i++) {
            double weight = turn.parts.get(i).weight();
            turn.credit[i] += weight;
            total += weight;
            if (turn.credit[i] > turn.credit[chosen]) {
                chosen = i;
            }
        }
        turn.credit[chosen] -= total;
        return turn.parts.get(chosen).service();
    }
}
