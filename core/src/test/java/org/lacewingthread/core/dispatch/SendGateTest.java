package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

class SendGateTest {
    private static final long DEADLINE_MILLIS = 5_000;

    private static KnownServer evacuated(boolean draining) {
        ServerEntry entry = new ServerEntry(
                new ServerStart(new ServerId("s1"), 1),
                new ServiceId("orders"),
                "10.0.0.1",
                8080,
                new DataCentreId("maras"),
                2,
                draining,
                false);
        Optional<Long> drainEnd = draining ? Optional.of(1_000L) : Optional.empty();
        return new KnownServer(entry, drainEnd, Optional.empty()).evacuatedUntil(DEADLINE_MILLIS);
    }

    /** Guards against requests to an evacuated owner whose drain an old view of the registry does not show yet. */
    @Test
    void evacuatedServerGetsNothingWhileTheRegistryIsOutdated() {
        assertThat(new SendGate(() -> false, () -> true).allows(evacuated(false)))
                .isFalse();
        assertThat(new SendGate(() -> true, () -> true).allows(evacuated(false)))
                .isTrue();
    }

    /** The drain's own deadline is known, whatever the age of the view. */
    @Test
    void evacuatedServerThatIsKnownToDrainKeepsItsEarlierDeadline() {
        assertThat(evacuated(true).acceptsUntilMillis()).contains(1_000L);
        assertThat(new SendGate(() -> false, () -> true).allows(evacuated(true)))
                .isTrue();
    }
}
