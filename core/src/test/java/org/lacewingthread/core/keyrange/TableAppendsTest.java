package org.lacewingthread.core.keyrange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

class TableAppendsTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServerStart A = new ServerStart(new ServerId("a"), 1);
    private static final ServerStart B = new ServerStart(new ServerId("b"), 1);
    private static final RangeTable TABLE =
            RangeTable.EMPTY.withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, B)));
    private static final long LOG_END = 7;

    private final TableAppends appends = new TableAppends();

    private boolean mayReplaceA() {
        return appends.mayReplaceOwner(ORDERS, new KeyRange(0, 9), A);
    }

    @Test
    void appendUnderWayMayReplaceOnlyOtherOwners() {
        appends.start(TABLE, LOG_END, 0);
        assertThat(mayReplaceA()).isTrue();
        assertThat(appends.mayReplaceOwner(ORDERS, new KeyRange(0, 9), B)).isFalse();
    }

    @Test
    void refusedAppendReplacesNobodyAndIsNotRepeated() {
        appends.start(TABLE, LOG_END, 0);
        appends.onResult(AppendResult.refused(), 10);
        assertThat(mayReplaceA()).isFalse();
        assertThat(appends.tableToRepeat()).isEmpty();
    }

    /** Guards against renewals of an owner that a table replaces whose append was taken for refused. */
    @Test
    void appendWithoutAnswerMayReplaceOwnersUntilTheLogHasGrown() {
        appends.start(TABLE, LOG_END, 0);
        appends.onResult(AppendResult.unknown(), 1_200);
        appends.onLogEnd(LOG_END);
        assertThat(mayReplaceA()).isTrue();
        assertThat(appends.tableToRepeat()).contains(TABLE);
        appends.onLogEnd(LOG_END + 1);
        assertThat(mayReplaceA()).isFalse();
        assertThat(appends.tableToRepeat()).isEmpty();
    }

    @Test
    void refusalOfARepeatedAppendDoesNotTellWhatBecameOfTheFirst() {
        appends.start(TABLE, LOG_END, 0);
        appends.onResult(AppendResult.unknown(), 1_200);
        appends.start(TABLE, LOG_END, 1_400);
        appends.onResult(AppendResult.refused(), 1_410);
        assertThat(mayReplaceA()).isTrue();
    }

    /** Guards against repeating a refused append for good because an earlier, resolved one got no answer. */
    @Test
    void refusedAppendAfterAnUnansweredOneThatWasReadIsNotRepeated() {
        appends.start(TABLE, LOG_END, 0);
        appends.onLogEnd(LOG_END + 1);
        appends.onResult(AppendResult.unknown(), 1_200);
        appends.start(TABLE, LOG_END + 1, 1_400);
        appends.onResult(AppendResult.refused(), 1_410);
        assertThat(appends.tableToRepeat()).isEmpty();
        assertThat(mayReplaceA()).isFalse();
    }

    @Test
    void appendIsRepeated200MillisAfterARefusalAndAtOnceAfterARecord() {
        appends.start(TABLE, LOG_END, 0);
        assertThat(appends.mayCall(10)).isFalse();
        appends.onResult(AppendResult.refused(), 10);
        assertThat(appends.mayCall(209)).isFalse();
        assertThat(appends.mayCall(210)).isTrue();
        appends.start(TABLE, LOG_END, 210);
        appends.onResult(AppendResult.recorded(LOG_END + 1), 220);
        assertThat(appends.mayCall(220)).isTrue();
    }
}
