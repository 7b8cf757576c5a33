package org.lacewingthread.daemon.dispatch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.lacewingthread.daemon.exchange.RoutedRequest;

/** Tracks the attempts that were sent to one server and may still run there; confined to one I/O thread. */
final class InFlightAttempts {
    private final Set<DispatchAttempt> attempts = new LinkedHashSet<>();

    void add(DispatchAttempt attempt) {
        attempts.add(attempt);
    }

    void remove(DispatchAttempt attempt) {
        attempts.remove(attempt);
    }

    /** Returns the attempts of a request whose responses are still awaited. */
    List<DispatchAttempt> awaitingResponseOf(PendingRequest pending) {
        return attempts.stream()
                .filter(attempt -> attempt.pending() == pending && attempt.isAwaitingResponse())
                .toList();
    }

    /** Returns the attempts whose response head has not arrived yet. */
    List<DispatchAttempt> awaitingHead() {
        return attempts.stream().filter(DispatchAttempt::isAwaitingHead).toList();
    }

    boolean allMatch(Predicate<RoutedRequest> condition) {
        return attempts.stream()
                .allMatch(attempt -> condition.test(attempt.pending().request()));
    }
}
