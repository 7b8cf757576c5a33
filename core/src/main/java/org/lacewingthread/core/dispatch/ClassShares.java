package org.lacewingthread.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.lacewingthread.core.id.ServiceId;

/**
 * Shares of the requests of each class that were sent, to find a class that more urgent ones leave too little for. Requests
 * of a service with the same priority are a class.
 */
final class ClassShares {
    /** Share of a class, relative to that of all, below which it goes first; above the quarter that each class must get. */
    private static final double FLOOR_RATIO = 0.35;
    /** Decisions about a class before its share counts. */
    private static final double MIN_DECISIONS = 20;
    /** Decisions about a service after which earlier ones count half. */
    private static final double MAX_DECISIONS = 400;

    private static final class Counts {
        private double sent;
        private double decided;

        private void add(boolean isSent) {
            sent += isSent ? 1 : 0;
            decided++;
        }

        private void halve() {
            sent /= 2;
            decided /= 2;
        }

        private double share() {
            return sent / decided;
        }
    }

    private final Map<ServiceId, Map<Integer, Counts>> classes = new HashMap<>();
    private final Map<ServiceId, Counts> totals = new HashMap<>();

    /** Records that a request was sent or refused. */
    void onDecided(Decision decision) {
        DispatchRequest request = decision.request();
        if (decision instanceof Decision.AskPermit || !request.triedServers().isEmpty()) {
            return;
        }
        boolean isSent = decision instanceof Decision.Send;
        Counts total = totals.computeIfAbsent(request.service(), service -> new Counts());
        Map<Integer, Counts> ofService = classes.computeIfAbsent(request.service(), service -> new HashMap<>());
        ofService.computeIfAbsent(request.priority(), priority -> new Counts()).add(isSent);
        total.add(isSent);
        if (total.decided > MAX_DECISIONS) {
            total.halve();
            ofService.values().forEach(Counts::halve);
        }
    }

    /** Returns the priority of the class that gets least, if that is too little. */
    OptionalInt starvedPriority(ServiceId service) {
        Map<Integer, Counts> ofService = classes.getOrDefault(service, Map.of());
        double lowest =
                ofService.isEmpty() ? 0 : FLOOR_RATIO * totals.get(service).share();
        OptionalInt starved = OptionalInt.empty();
        for (Map.Entry<Integer, Counts> entry : ofService.entrySet()) {
            Counts counts = entry.getValue();
            if (counts.decided >= MIN_DECISIONS && counts.share() < lowest) {
                lowest = counts.share();
                starved = OptionalInt.of(entry.getKey());
            }
        }
        return starved;
    }
}
