package org.lacewingthread.daemon.router;

import java.util.Optional;
import org.lacewingthread.core.dispatch.ColdRates;
import org.lacewingthread.core.dispatch.ColdServerRule;
import org.lacewingthread.core.serving.ServingConfiguration;

/**
 * Settings of the rate limit for cold servers.
 *
 * @param rule bound on the requests that a cold server may receive; empty if the deployment limits no cold servers
 * @param entryIntervalMillis how often a server refreshes its entry in the registry
 */
public record ColdServerSettings(Optional<ColdServerRule> rule, long entryIntervalMillis) {
    /** Interval of the platform's usual servers. */
    private static final long DEFAULT_ENTRY_INTERVAL_MILLIS = 1_000;

    /** Settings of a deployment that limits no cold servers. */
    public static final ColdServerSettings OFF = new ColdServerSettings(Optional.empty(), 0);

    /** Replaces an interval that is not set by the usual one. */
    public ColdServerSettings {
        entryIntervalMillis = entryIntervalMillis > 0 ? entryIntervalMillis : DEFAULT_ENTRY_INTERVAL_MILLIS;
    }

    /** Returns the rates of cold servers that are in force with a configuration. */
    ColdRates rates(ServingConfiguration configuration) {
        return rule.map(bound -> ColdRates.of(configuration.services().values(), bound))
                .orElse(ColdRates.NONE);
    }
}
