package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

class SlowdownTest {
    private static final ServiceId DESK = new ServiceId("desk");
    private static final DataCentreId HERE = new DataCentreId("maras");
    private static final KnownServer FIRST = server("i-1");
    private static final KnownServer SECOND = server("i-2");

    private long lastNumber;

    private static KnownServer server(String id) {
        return new KnownServer(
                new ServerEntry(new ServerStart(new ServerId(id), 1), DESK, "10.0.0.1", 80, HERE, 4, false, false),
                Optional.empty(),
                Optional.empty());
    }

    private static LoadReport report(double slowdown) {
        return new LoadReport(0, 0, 4, OptionalDouble.of(slowdown));
    }

    private Decision.Send send(RequestDispatcher dispatcher, long nowMillis) {
        DispatchRequest request = new DispatchRequest(
                ++lastNumber, DESK, OptionalInt.empty(), 0, nowMillis + 2_000, nowMillis + 4_000, Set.of());
        return (Decision.Send) dispatcher.submit(request, nowMillis).get(0);
    }

    /** Guards against requests to a server that has just said that it is slow, and against leaving it out for good. */
    @Test
    void serverThatReportsASlowdownIsAvoidedUntilTheReportIsOld() {
        RequestDispatcher dispatcher = new RequestDispatcher(HERE, new SplittableRandom(1));
        dispatcher.onTopologyChanged(List.of(FIRST, SECOND), RangeTable.EMPTY, 0);
        Decision.Send slow = send(dispatcher, 0);
        dispatcher.onAttemptEnded(slow, AttemptResult.ANSWERED, 100, Optional.of(report(3)), 100);
        for (int i = 0; i < 20; i++) {
            Decision.Send next = send(dispatcher, 110);
            assertThat(next.server().start()).isNotEqualTo(slow.server().start());
            dispatcher.onAttemptEnded(next, AttemptResult.ANSWERED, 100, Optional.of(report(1)), 110);
        }
        int toTheSlowOne = 0;
        for (int i = 0; i < 100; i++) {
            Decision.Send next = send(dispatcher, 5_000);
            toTheSlowOne += next.server().start().equals(slow.server().start()) ? 1 : 0;
            dispatcher.onAttemptEnded(next, AttemptResult.ANSWERED, 100, Optional.of(report(1)), 5_000);
        }
        assertThat(toTheSlowOne).isGreaterThan(10);
    }

    /** Guards against expecting nine times the time: slow answers raise the average and come with a slowdown. */
    @Test
    void slowdownIsNotCountedTwice() {
        ServerLoadState state = new ServerLoadState(FIRST);
        long nowMillis = 0;
        for (int i = 0; i < 200; i++) {
            double slowdown = i % 5 == 0 ? 3 : 1;
            state.onSent(4_000, nowMillis);
            state.onEnded(AttemptResult.ANSWERED, 200 * slowdown, Optional.of(report(slowdown)), nowMillis);
            assertThat(i < 50 ? 200 * slowdown : state.expectedMillis(0, nowMillis))
                    .isCloseTo(200 * slowdown, Offset.offset(5.0));
            nowMillis += 400;
        }
        assertThat(state.expectedMillis(0, nowMillis + 10_000)).isCloseTo(state.serviceMillis(), Offset.offset(1.0));
    }
}
