package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** Load pattern: a full server drops requests without an answer, which then took their whole deadline to fail. */
class OverdueAttemptsTest {
    private static final ServiceId POOL = new ServiceId("pool");
    private static final DataCentreId HERE = new DataCentreId("maras");

    private final RequestDispatcher dispatcher = new RequestDispatcher(HERE, new SplittableRandom(1));
    private long nowMillis;
    private long lastNumber;

    private static KnownServer server(String id) {
        ServerEntry entry =
                new ServerEntry(new ServerStart(new ServerId(id), 1), POOL, "10.0.0.1", 8080, HERE, 4, false, false);
        return new KnownServer(entry, Optional.empty(), Optional.empty());
    }

    private List<Decision> submit(Set<ServerId> tried) {
        return dispatcher.submit(
                new DispatchRequest(
                        ++lastNumber, POOL, OptionalInt.empty(), 0, nowMillis + 5_000, nowMillis + 5_000, tried),
                nowMillis);
    }

    private Decision.Send send() {
        return (Decision.Send) submit(Set.of()).get(0);
    }

    private void end(Decision.Send send, AttemptResult result, long millis, Optional<LoadReport> report) {
        nowMillis += millis;
        dispatcher.onAttemptEnded(send, result, (double) millis, report, nowMillis);
    }

    private void repeatElsewhere(Decision.Send send, long millis) {
        nowMillis += millis;
        dispatcher.overdueAttempts().onRepeated(send, nowMillis);
    }

    private void learnServiceTime(String... ids) {
        List<KnownServer> known =
                List.of(ids).stream().map(OverdueAttemptsTest::server).toList();
        dispatcher.onTopologyChanged(known, RangeTable.EMPTY, nowMillis);
        for (int i = 0; i < 40; i++) {
            end(send(), AttemptResult.ANSWERED, 200, Optional.of(new LoadReport(0, 0, 4)));
        }
    }

    private boolean isOverdue(Decision.Send send, double elapsedMillis) {
        return dispatcher.overdueAttempts().isOverdue(send, elapsedMillis);
    }

    /** Guards against answers that are given up although the server's work is only slowed down. */
    @Test
    void answerIsOverdueAfterAMultipleOfTheExpectedTimeLongBeforeTheDeadline() {
        learnServiceTime("s1");
        Decision.Send send = send();
        assertThat(isOverdue(send, 500)).isFalse();
        assertThat(isOverdue(send, 1_000)).isTrue();
    }

    /** Guards against attempts that all end before the first answer, so that the service time is never learnt. */
    @Test
    void answersOfAnUnknownServerAreAwaited() {
        dispatcher.onTopologyChanged(List.of(server("s1")), RangeTable.EMPTY, 0);
        assertThat(isOverdue(send(), 4_000)).isFalse();
    }

    /** Guards against servers that became slower for good and whose answers are never seen again. */
    @Test
    void overdueAttemptsLengthenTheTimeUntilTheNextAnswer() {
        learnServiceTime("s1");
        for (int i = 0; i < 3; i++) {
            repeatElsewhere(send(), 700);
            nowMillis += 3_000;
        }
        assertThat(isOverdue(send(), 1_000)).isFalse();
        assertThat(dispatcher.serviceMillis(server("s1").start()).orElseThrow()).isBetween(190.0, 205.0);
    }

    /** Earlier deployments: servers that answer when they are full get the whole deadline. */
    @Test
    void answersOfAServiceThatRejectsAreAwaited() {
        learnServiceTime("s1");
        end(send(), AttemptResult.REJECTED, 10, Optional.of(new LoadReport(4, 16, 4)));
        nowMillis += 5_000;
        assertThat(isOverdue(send(), 4_000)).isFalse();
    }

    /** Guards against a silent server that gets the next requests too, or counts as failed and is ejected. */
    @Test
    void silentServerIsBackedOffAndTriedAgain() {
        learnServiceTime("s1");
        repeatElsewhere(send(), 700);
        assertThat(submit(Set.of())).isEmpty();
        nowMillis += 1_500;
        assertThat(dispatcher.reevaluate(nowMillis)).hasSize(1);
    }
}
