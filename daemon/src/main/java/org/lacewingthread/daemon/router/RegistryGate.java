package org.lacewingthread.daemon.router;

import java.util.function.BooleanSupplier;
import org.lacewingthread.core.registry.RegistryFreshness;
import org.lacewingthread.daemon.events.EventLog;

/** Tells the dispatcher whether the view of the registry allows requests, and logs each change. Runs on the traffic thread. */
final class RegistryGate implements BooleanSupplier {
    private final RegistryFreshness freshness;
    private final EventLog events;
    private boolean open = true;

    RegistryGate(RegistryFreshness freshness, EventLog events) {
        this.freshness = freshness;
        this.events = events;
    }

    @Override
    public boolean getAsBoolean() {
        boolean allowed = freshness.allowsRequests();
        if (allowed != open) {
            open = allowed;
            events.write(allowed ? "registry.current-again" : "registry.outdated", "age_ms", freshness.ageMillis());
        }
        return allowed;
    }
}
