package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.AppendResult;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.FirstUse;
import org.lacewingthread.core.keyrange.GrantOutcome;
import org.lacewingthread.core.keyrange.KeyLoad;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.LogPosition;
import org.lacewingthread.core.keyrange.RangeCoordinator;
import org.lacewingthread.core.keyrange.RangeEventListener;
import org.lacewingthread.core.keyrange.RangeLeaseTimes;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.ServiceView;

/** The leader waits for the end of a hold by a clock that a step of the time of day does not advance. */
class RangeHoldClockTest {
    private static final ServiceId SERVICE = new ServiceId("orders");
    private static final long HOLD_MILLIS = 4_000;
    private static final long STEP_MILLIS = 20;

    private final ServerStart former = new ServerStart(new ServerId("s0"), 1);
    private final ServerStart next = new ServerStart(new ServerId("s1"), 1);
    private final RangeCoordinator coordinator = new RangeCoordinator(
            new Leader(new VmStart(new VmId("a"), 1), "10.0.0.1", 7_000),
            new RangeLeaseTimes(HOLD_MILLIS, 1_000, 10_000, 3_000, 0.03),
            RangeEventListener.NONE,
            () -> this.clock.leadMillis(),
            new FirstUse(false, 0));
    private final List<String> violations = new ArrayList<>();
    private long trueMillis = 1_000;
    private long timeOfDayMillis = 1_000_000;
    private final ControlClock clock = new ControlClock(() -> trueMillis * 1_000_000, () -> timeOfDayMillis);
    private long logEnd;
    private long formerHoldsUntilMillis;

    /** Guards against a grant to the next owner while the former one, which does not answer, still holds the keys. */
    @ParameterizedTest
    @ValueSource(longs = {0, 2_400, 6_000})
    void stepOfTheTimeOfDayEndsNoHoldEarly(long stepMillis) {
        coordinator.onTable(RangeTable.EMPTY, new LogPosition(0, logEnd), clock.nowMillis());
        coordinator.setLeaderCandidate(true);
        run(3_000, former);
        run(200, next);
        timeOfDayMillis += stepMillis;
        run(6_000, next);
        assertThat(violations).isEmpty();
    }

    private void run(long millis, ServerStart ready) {
        for (long endMillis = trueMillis + millis; trueMillis < endMillis; ) {
            trueMillis += STEP_MILLIS;
            timeOfDayMillis += STEP_MILLIS;
            long nowMillis = clock.nowMillis();
            coordinator.onStoreAnswer(0, nowMillis);
            ServiceView view = new ServiceView(
                    Map.of(ready, 2.0), Set.of(former, next), new KeyLoad(6_000, 2_000).profile(nowMillis));
            coordinator.step(Map.of(SERVICE, view), nowMillis).forEach(this::execute);
        }
    }

    private void execute(CoordinatorAction action) {
        if (action instanceof CoordinatorAction.RecordTable record) {
            coordinator.onRecorded(record, AppendResult.recorded(++logEnd), clock.nowMillis());
        } else if (action instanceof CoordinatorAction.Grant grant) {
            if (grant.server().equals(former)) {
                formerHoldsUntilMillis = trueMillis + grant.holdMillis();
            } else if (trueMillis < formerHoldsUntilMillis) {
                violations.add("at " + trueMillis + " ms " + grant.range() + " is granted to " + grant.server()
                        + " although " + former + " holds it until " + formerHoldsUntilMillis + " ms");
            }
            coordinator.onGrantAnswer(grant.call(), GrantOutcome.GRANTED, clock.nowMillis());
        }
    }
}
