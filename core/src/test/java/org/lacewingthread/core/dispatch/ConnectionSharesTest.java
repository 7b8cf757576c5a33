package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.ServiceSpec;

class ConnectionSharesTest {
    private static final ServiceSpec DESK = new ServiceSpec(new ServiceId("desk"), "/health", 46, false);

    @Test
    void sharesOfAllEntryVmsStayWithinTheServersLimit() {
        for (int entryVms = 1; entryVms <= 46; entryVms++) {
            int share = ConnectionShares.limits(List.of(DESK), entryVms).get(DESK.id());
            assertThat(share * entryVms).isLessThanOrEqualTo(46);
        }
    }

    @Test
    void eachEntryVmGetsAtLeastOneConnection() {
        assertThat(ConnectionShares.limits(List.of(DESK), 400)).containsEntry(DESK.id(), 1);
    }

    @Test
    void entryVmCountBelowOneIsRejected() {
        assertThatThrownBy(() -> ConnectionShares.limits(List.of(DESK), 0))
                .hasMessage("0 entry VMs can't share connections; count this one too");
    }
}
