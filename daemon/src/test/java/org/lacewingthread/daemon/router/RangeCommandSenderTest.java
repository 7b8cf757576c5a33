package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.AppendResult;
import org.lacewingthread.core.keyrange.CoordinatorAction;
import org.lacewingthread.core.keyrange.FirstUse;
import org.lacewingthread.core.keyrange.GrantOutcome;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.LogPosition;
import org.lacewingthread.core.keyrange.RangeCoordinator;
import org.lacewingthread.core.keyrange.RangeEventListener;
import org.lacewingthread.core.keyrange.RangeLeaseTimes;
import org.lacewingthread.core.registry.RegistryChanges;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.daemon.events.EventLog;

class RangeCommandSenderTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServerStart SERVER = new ServerStart(new ServerId("i-1"), 11);
    private static final KeyRange RANGE = new KeyRange(100, 199);

    private long nowMillis;
    private final ControlClock clock = new ControlClock(() -> nowMillis * 1_000_000, () -> nowMillis);
    private final RecordingPlatform platform = new RecordingPlatform();
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final EventLog events = new EventLog("vm-1", lines, () -> 0);
    private final RangeCommandSender sender = new RangeCommandSender(
            platform,
            new RangeCoordinator(
                    new Leader(new VmStart(new VmId("vm-1"), 1), "10.0.0.1", 7_000),
                    new RangeLeaseTimes(4_000, 1_000, 10_000, 3_000, 0.03),
                    RangeEventListener.NONE,
                    () -> 0,
                    new FirstUse(false, 0)),
            clock,
            events,
            new RangeCommandLog(events, new RouterMetrics(), 8),
            () -> {},
            (server, answered, elapsedMillis) -> {});

    /** Records the calls that are sent. */
    private static final class RecordingPlatform implements Platform {
        private final List<Object> sent = new ArrayList<>();
        private Optional<GrantResult> grantResult = Optional.empty();

        @Override
        public CrashRecordStore crashRecordStore() {
            return new RecordingCrashRecordStore();
        }

        @Override
        public void start(Listener listener) {}

        @Override
        public void setLeading(boolean leading) {}

        @Override
        public Positions positions() {
            return new Positions(0, 0, 0);
        }

        @Override
        public void onLeaderPositions(Positions positions, Optional<AsOf> asOf) {}

        @Override
        public void onRegistryChangesKnown(RegistryChanges changes) {}

        @Override
        public void onTableKnown(LogPosition position) {}

        @Override
        public long configurationAsOfMillis() {
            return 0;
        }

        @Override
        public void appendTable(CoordinatorAction.RecordTable action, Consumer<AppendResult> result) {
            sent.add(action);
        }

        @Override
        public void grant(ServerEntry server, CoordinatorAction.Grant action, Consumer<GrantResult> result) {
            sent.add(action);
            grantResult.ifPresent(result);
        }

        @Override
        public void release(ServerEntry server, CoordinatorAction.Release action, Consumer<ReleaseResult> result) {
            sent.add(action);
        }

        @Override
        public void setLeaderEligible(boolean eligible) {}

        @Override
        public void leave() {}
    }

    @BeforeEach
    void rememberServer() {
        sender.rememberAddress(
                new ServerEntry(SERVER, ORDERS, "10.0.0.9", 8_181, new DataCentreId("maras"), 2, false, false),
                List.of());
    }

    private List<Object> sentAfter(long delayMillis) {
        nowMillis += delayMillis;
        sender.grant(new CoordinatorAction.Grant(1, ORDERS, SERVER, RANGE, 5, 4_000, Optional.empty()), 0);
        sender.release(new CoordinatorAction.Release(2, ORDERS, SERVER, RANGE, 5), 0);
        return platform.sent;
    }

    @Test
    void callsAreSentUpTo600MillisAfterTheirDecision() {
        assertThat(sentAfter(600)).hasSize(2);
    }

    /** Guards against a takeover that waits for a grant which never left this VM. */
    @ParameterizedTest
    @CsvSource({"-1,NOT_SENT", "5,UNKNOWN"})
    void unansweredGrantCountsAsNotSentUnlessItWasHandedToAConnection(long sentAtMillis, GrantOutcome expected) {
        platform.grantResult = Optional.of(new Platform.GrantResult(
                GrantOutcome.UNKNOWN, sentAtMillis < 0 ? OptionalLong.empty() : OptionalLong.of(sentAtMillis)));
        sentAfter(10);
        events.close();
        assertThat(lines.toString(StandardCharsets.UTF_8)).contains("\"outcome\":\"" + expected + "\"");
    }

    /** Guards against a grant of a former leader that arrives later than its successor allows for. */
    @Test
    void callsDecidedOver600MillisAgoAreNotSent() {
        assertThat(sentAfter(600 + 1)).isEmpty();
    }
}
