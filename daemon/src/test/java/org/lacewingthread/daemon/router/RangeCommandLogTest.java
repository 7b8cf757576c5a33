package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.GrantOutcome;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.ReleaseOutcome;
import org.lacewingthread.daemon.events.EventLog;

class RangeCommandLogTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServerStart SERVER = new ServerStart(new ServerId("i-1"), 11);
    private static final int MAX_REMEMBERED_FENCES = 8;
    private static final KeyRange RANGE = new KeyRange(100, 199);

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final EventLog events = new EventLog("vm-1", out, () -> 5);
    private final RouterMetrics metrics = new RouterMetrics();
    private final RangeCommandLog log = new RangeCommandLog(events, metrics, MAX_REMEMBERED_FENCES);

    private void grantEnded(long fence, GrantOutcome outcome, long elapsedMillis, boolean awaited) {
        CoordinatorAction.Grant grant =
                new CoordinatorAction.Grant(7, ORDERS, SERVER, RANGE, fence, 4_000, Optional.empty());
        log.onGrantEnded(
                grant,
                outcome,
                new RangeCommandLog.CallTimes(1_000, OptionalLong.of(1_001), 1_000 + elapsedMillis),
                awaited);
    }

    private List<String> lines() {
        events.close();
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static String grantLine(long fence, long endedMillis, GrantOutcome outcome, boolean awaited) {
        return "{\"at_unix_ms\":5,\"vm\":\"vm-1\",\"event\":\"grant.ended\",\"call\":7,\"service\":\"orders\","
                + "\"server\":\"i-1@11\",\"range\":\"100-199\",\"fence\":" + fence + ",\"hold_ms\":4000,"
                + "\"decided_ms\":1000,\"sent_ms\":1001,\"ended_ms\":" + endedMillis + ",\"outcome\":\"" + outcome
                + "\",\"awaited\":" + awaited + "}";
    }

    @Test
    void routineRenewalsAreCountedButNotLogged() {
        for (int i = 0; i < 50; i++) {
            grantEnded(3_000_148, GrantOutcome.GRANTED, RangeCommandLog.SLOW_GRANT_MILLIS, true);
        }
        assertThat(lines()).containsExactly(grantLine(3_000_148, 1_100, GrantOutcome.GRANTED, true));
        assertThat(metrics.scrape())
                .contains("lacewingthread_router_grants_seconds_count{outcome=\"GRANTED\",service=\"orders\"} 50")
                .contains("lacewingthread_router_grants_seconds_bucket{outcome=\"GRANTED\",service=\"orders\",le=");
    }

    @Test
    void grantsWithANewFenceSlowGrantsAndLateAnswersAreLogged() {
        grantEnded(1, GrantOutcome.GRANTED, 10, true);
        grantEnded(2, GrantOutcome.GRANTED, 10, true);
        grantEnded(1, GrantOutcome.GRANTED, RangeCommandLog.SLOW_GRANT_MILLIS + 1, true);
        grantEnded(1, GrantOutcome.GRANTED, 10, false);
        assertThat(lines())
                .containsExactly(
                        grantLine(1, 1_010, GrantOutcome.GRANTED, true),
                        grantLine(2, 1_010, GrantOutcome.GRANTED, true),
                        grantLine(1, 1_101, GrantOutcome.GRANTED, true),
                        grantLine(1, 1_010, GrantOutcome.GRANTED, false));
    }

    @ParameterizedTest
    @EnumSource(value = GrantOutcome.class, mode = EnumSource.Mode.EXCLUDE, names = "GRANTED")
    void grantsThatWereNotGrantedAreLoggedAndCountedByOutcome(GrantOutcome outcome) {
        grantEnded(1, outcome, 10, true);
        grantEnded(1, outcome, 10, true);
        assertThat(lines()).hasSize(2).containsOnly(grantLine(1, 1_010, outcome, true));
        assertThat(metrics.scrape())
                .contains(
                        "lacewingthread_router_grants_seconds_count{outcome=\"" + outcome + "\",service=\"orders\"} 2");
    }

    @Test
    void fencesInUseAreRememberedWhenUnusedOnesAreForgotten() {
        for (long fence = 1; fence <= 2 * MAX_REMEMBERED_FENCES; fence++) {
            grantEnded(fence, GrantOutcome.GRANTED, 10, true);
            grantEnded(1, GrantOutcome.GRANTED, 10, true);
        }
        grantEnded(2, GrantOutcome.GRANTED, 10, true);
        List<String> lines = lines();
        assertThat(lines).hasSize(2 * MAX_REMEMBERED_FENCES + 1);
        assertThat(lines).filteredOn(line -> line.contains("\"fence\":1,")).hasSize(1);
        assertThat(lines).filteredOn(line -> line.contains("\"fence\":2,")).hasSize(2);
    }

    @ParameterizedTest
    @EnumSource(ReleaseOutcome.class)
    void eachReleaseIsLoggedAndCountedByOutcomeAndLacksASendTimeIfNotSent(ReleaseOutcome outcome) {
        CoordinatorAction.Release release = new CoordinatorAction.Release(8, ORDERS, SERVER, RANGE, 3_000_149);
        log.onReleaseEnded(release, outcome, new RangeCommandLog.CallTimes(1_000, OptionalLong.empty(), 1_020), false);
        assertThat(lines())
                .containsExactly("{\"at_unix_ms\":5,\"vm\":\"vm-1\",\"event\":\"release.ended\",\"call\":8,"
                        + "\"service\":\"orders\",\"server\":\"i-1@11\",\"range\":\"100-199\",\"fence\":3000149,"
                        + "\"decided_ms\":1000,\"ended_ms\":1020,\"outcome\":\"" + outcome + "\",\"awaited\":false}");
        assertThat(metrics.scrape())
                .contains("lacewingthread_router_releases_seconds_count{outcome=\"" + outcome
                        + "\",service=\"orders\"} 1");
    }
}
