package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;

/** Terms and positions of a process that has not read the newest record of the log. */
class RangeTermNumberTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServerStart SERVER = new ServerStart(new ServerId("i-1"), 0);
    private static final RangeLeaseTimes TIMES = new RangeLeaseTimes(4_000, 1_000, 10_000, 3_000, 0.03);
    private static final long NOW_MILLIS = 1_000;

    private final RangeCoordinator coordinator = new RangeCoordinator(
            new Leader(new VmStart(new VmId("a"), 1), "10.0.0.1", 7_000),
            TIMES,
            RangeEventListener.NONE,
            () -> 0,
            new FirstUse(false, 0));

    private CoordinatorAction.RecordTable stepToRecord() {
        ServiceView view =
                new ServiceView(Map.of(SERVER, 2.0), Set.of(SERVER), new KeyLoad(6_000, 2_000).profile(NOW_MILLIS));
        List<CoordinatorAction> actions = coordinator.step(Map.of(ORDERS, view), NOW_MILLIS);
        return actions.stream()
                .filter(CoordinatorAction.RecordTable.class::isInstance)
                .map(CoordinatorAction.RecordTable.class::cast)
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a term, and with it fences, that two leaders use because one has not read the other's record. */
    @Test
    void claimOfAProcessThatWasToldOfATermItHasNotReadHasAHigherTerm() {
        coordinator.onTable(RangeTable.EMPTY, new LogPosition(0, 0), NOW_MILLIS);
        coordinator.onNewTerm(3);
        coordinator.setLeaderCandidate(true);
        assertThat(stepToRecord().table().term()).isEqualTo(4);
    }

    /** Guards against an append that replaces another leader's record, which was made before the answer and not yet read. */
    @Test
    void appendAfterAnAnswerWithALaterEndExpectsTheEndOfTheOwnRecord() {
        coordinator.onTable(RangeTable.EMPTY, new LogPosition(0, 0), NOW_MILLIS);
        coordinator.setLeaderCandidate(true);
        CoordinatorAction.RecordTable claim = stepToRecord();
        coordinator.onRecorded(claim, AppendResult.recorded(2), NOW_MILLIS);
        assertThat(stepToRecord().expectedEnd()).isEqualTo(1);
    }
}
