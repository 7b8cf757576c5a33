package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.AppendResult;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeEventListener;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.keyrange.TakeoverReason;
import org.lacewingthread.daemon.events.EventLog;

class ControlEventLoggerTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServerStart FIRST = new ServerStart(new ServerId("i-1"), 11);
    private static final ServerStart SECOND = new ServerStart(new ServerId("i-2"), 22);
    private static final long STORE_ANSWERED_MILLIS = 900;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final EventLog events = new EventLog("vm-1", out, () -> 5);
    private final ControlEventLogger logger =
            new ControlEventLogger(events, nowMillis -> nowMillis - STORE_ANSWERED_MILLIS);

    private String onlyLine() {
        events.close();
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(1);
        return lines.get(0).replace("{\"at_unix_ms\":5,\"vm\":\"vm-1\",\"event\":", "{");
    }

    private static ControlEventLogger.Append append() {
        RangeTable before = RangeTable.EMPTY.withRanges(ORDERS, List.of(RangeOwnership.settled(KeyRange.ALL, FIRST)));
        RangeTable after =
                before.withRanges(ORDERS, List.of(new RangeOwnership(KeyRange.ALL, SECOND, Optional.of(FIRST))));
        return new ControlEventLogger.Append(new CoordinatorAction.RecordTable(after, 6), before, 1_000);
    }

    @Test
    void recordedAppendIsLoggedWithItsNewEnd() {
        logger.logAppendEnded(append(), AppendResult.recorded(7), 1_030);
        assertThat(onlyLine())
                .isEqualTo("{\"table.recorded\",\"term\":0,\"result\":\"RECORDED\",\"expected_end\":6,\"new_end\":7,"
                        + "\"asked_ms\":1000,\"answered_ms\":1030,\"moving\":1,"
                        + "\"changed\":\"orders:0-65535 i-1@11>i-2@22\",\"changed_unlisted\":0}");
    }

    @Test
    void appendWithUnknownResultIsLoggedWithoutANewEnd() {
        logger.logAppendEnded(append(), AppendResult.unknown(), 2_200);
        assertThat(onlyLine())
                .startsWith("{\"table.not-recorded\",\"term\":0,\"result\":\"UNKNOWN\",\"expected_end\":6,"
                        + "\"asked_ms\":1000,\"answered_ms\":2200,");
    }

    @Test
    void tableThatIsReadIsLoggedWithTheRangesThatDifferFromTheTableBefore() {
        ControlEventLogger.Append append = append();
        logger.logTableRead(append.previousTable(), append.record().table(), 7, "store");
        assertThat(onlyLine())
                .isEqualTo("{\"table.read\",\"term\":0,\"end\":7,\"from\":\"store\","
                        + "\"changed\":\"orders:0-65535 i-1@11>i-2@22\",\"changed_unlisted\":0}");
    }

    @Test
    void takeoverIsLoggedWithItsReasonTheFormerHoldAndTheSilenceOfTheStore() {
        logger.onTakeover(ORDERS, new KeyRange(0, 99), SECOND, FIRST, TakeoverReason.EXPIRED, 3_000_148, 4_900, 5_000);
        assertThat(onlyLine())
                .isEqualTo("{\"range.takeover\",\"service\":\"orders\",\"range\":\"0-99\",\"server\":\"i-2@22\","
                        + "\"former_server\":\"i-1@11\",\"reason\":\"EXPIRED\",\"fence\":3000148,"
                        + "\"former_held_until_ms\":4900,\"taken_over_ms\":5000,\"store_silence_ms\":4100}");
    }

    @Test
    void startOfATermIsLoggedWithTheFormerLeadersAndTheirTimeBound() {
        VmStart former = new VmStart(new VmId("b"), 2);
        logger.onTermStarted(3, Set.of(new Leader(former, "10.0.0.2", 7_000)), 11_000, 1_000);
        assertThat(onlyLine())
                .isEqualTo("{\"term.started\",\"term\":3,\"former_leaders\":\"" + former
                        + "\",\"former_leaders_stopped_by_ms\":11000,\"started_ms\":1000,\"store_silence_ms\":100}");
    }

    @Test
    void startOfATermWithoutFormerLeadersHasNoTimeBound() {
        logger.onTermStarted(1, Set.of(), 11_000, 1_000);
        assertThat(onlyLine())
                .isEqualTo("{\"term.started\",\"term\":1,\"former_leaders\":\"\",\"started_ms\":1000,"
                        + "\"store_silence_ms\":100}");
    }

    @Test
    void stopOfFormerLeadersIsLoggedWithItsEvidence() {
        logger.onFormerLeadersStopped(RangeEventListener.StopEvidence.ANSWER, 1_400);
        assertThat(onlyLine())
                .isEqualTo("{\"term.former-leaders-stopped\",\"evidence\":\"ANSWER\",\"stopped_ms\":1400,"
                        + "\"store_silence_ms\":500}");
    }
}
