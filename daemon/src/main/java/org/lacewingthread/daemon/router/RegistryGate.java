package org.lacewingthread.daemon.router;

import java.util.function.BooleanSupplier;
import org.lacewingthread.core.registry.RegistryFreshness;
import org.lacewingthread.daemon.events.EventLog;

/** Tells the dispatcher whether the age of a view allows requests, and logs each change. Runs on the traffic thread. */
final class RegistryGate implements BooleanSupplier {
    private final RegistryFreshness freshness;
    private final EventLog events;
    private final String closedEvent;
    private final String openedEvent;
    private boolean open = true;

    RegistryGate(RegistryFreshness freshness, EventLog events, String closedEvent, String openedEvent) {
        this.freshness = freshness;
        this.events = events;
        this.closedEvent = closedEvent;
        this.openedEvent = openedEvent;
    }

    @Override
    public boolean getAsBoolean() {
        boolean allowed = freshness.allowsRequests();
        if (allowed != open) {
            open = allowed;
            events.write(allowed ? openedEvent : closedEvent, "age_ms", freshness.ageMillis());
        }
        return allowed;
    }
}
