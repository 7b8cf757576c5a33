package org.lacewingthread.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Load: a VM with 0.3 of a processor leads 67 VMs, and its turns come hundreds of milliseconds late. */
class LeadMonitorTest {
    private final LeadMonitor monitor = new LeadMonitor();
    private long nowMillis = 1_000;

    private void lead(long durationMillis, long turnMillis, long registryAgeMillis, long storeSilenceMillis) {
        long endMillis = nowMillis + durationMillis;
        while (nowMillis < endMillis) {
            nowMillis += turnMillis;
            monitor.onTurn(true, registryAgeMillis, storeSilenceMillis, nowMillis);
        }
    }

    /** Guards against a lead that stays with a starved VM. */
    @Test
    void vmWhoseTurnsComeLateCannotLead() {
        lead(5_000, 20, 200, 0);
        assertThat(monitor.couldLead()).isTrue();
        lead(5_000, 250, 200, 0);
        assertThat(monitor.couldLead()).isFalse();
    }

    /** Guards against a leader that turns in time and yet reads the registry seconds late. */
    @Test
    void vmWithAnOldViewOfTheRegistryCannotLeadUnlessTheStoreIsSilent() {
        lead(5_000, 20, 3_000, 2_000);
        assertThat(monitor.couldLead()).isTrue();
        lead(5_000, 20, 3_000, 0);
        assertThat(monitor.couldLead()).isFalse();
    }

    /** Guards against a sound leader that gives up for one pause of its process. */
    @Test
    void onePauseIsNoVerdict() {
        lead(5_000, 20, 200, 0);
        lead(3_000, 3_000, 200, 0);
        assertThat(monitor.couldLead()).isTrue();
    }

    /** Guards against a lead that goes to and fro between two VMs. */
    @Test
    void verdictStaysForItsTime() {
        lead(5_000, 250, 200, 0);
        long verdictMillis = nowMillis;
        monitor.onTurn(false, 0, 0, verdictMillis + LeadMonitor.MIN_VERDICT_MILLIS / 2);
        lead(5_000, 20, 200, 0);
        assertThat(monitor.couldLead()).isFalse();
        monitor.onTurn(false, 0, 0, verdictMillis + LeadMonitor.MIN_VERDICT_MILLIS);
        assertThat(monitor.couldLead()).isTrue();
    }
}
