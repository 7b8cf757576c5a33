package org.lacewingthread.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.core.traffic.IdempotencyRecord.State;
import org.lacewingthread.core.traffic.IdempotencyRecords;
import org.lacewingthread.daemon.caller.Caller;
import org.lacewingthread.daemon.settings.EntrySettings.CallerLimits;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;

/** Repeats that reach a VM which took over from another, with and without the other's records. */
class RecordTakeOverTest {
    private static final long LEASE_MILLIS = 600_000;

    /** A second VM in the same process. */
    private static final class SecondVm implements RecordReplica {
        private final RecordCopies copies = new RecordCopies(IdempotencyRecords.Settings.DEFAULT, TrafficBench.CLOCK);
        private final List<IdempotencyRecord> puts = new ArrayList<>();
        private PutResult answer = PutResult.ACKNOWLEDGED;
        private boolean complete = true;

        @Override
        public synchronized void put(IdempotencyRecord record, Consumer<PutResult> onResult) {
            puts.add(record);
            copies.put(record);
            onResult.accept(answer);
        }

        @Override
        public synchronized void collect(Set<ShardId> shards, Consumer<Collected> onResult) {
            onResult.accept(new Collected(complete ? copies.copiesOf(shards) : List.of(), complete));
        }
    }

    private final SecondVm second = new SecondVm();
    private BackendServerStandIn backend;
    private TrafficBench bench;
    private TrafficViews views;
    private ServerSpec server;
    private Caller caller;

    @BeforeEach
    void start() throws Exception {
        backend = new BackendServerStandIn(0, BackendSettings.of("s1"));
        server = TrafficViews.server("s1", backend.uri().getPort(), 20);
        views = new TrafficViews(server);
        bench = new TrafficBench(CallerLimits.DEFAULT, second, RelayDirectory.NONE);
        caller = new Caller(bench.server.port());
    }

    @AfterEach
    void stop() {
        bench.close();
        backend.close();
    }

    private void dispatchedBy(VmStart vm) {
        bench.state.publish(views.ownedBy(server.id(), vm, TrafficBench.leaseFor(LEASE_MILLIS)));
    }

    private HttpResponse<String> hold(String... headers) throws Exception {
        return caller.post("/holds/1", "{}", headers);
    }

    @Test
    void recordIsCopiedBeforeTheRequestIsSentAndAgainWithItsOutcome() throws Exception {
        dispatchedBy(TrafficViews.SELF);
        hold("Idempotency-Key", "k");
        assertThat(second.puts).extracting(IdempotencyRecord::state).containsExactly(State.MAY_HAVE_RUN, State.DONE);
    }

    @Test
    void requestWhoseRecordCannotBeCopiedIsNotSent() throws Exception {
        second.answer = RecordReplica.PutResult.FAILED;
        dispatchedBy(TrafficViews.SELF);
        HttpResponse<String> response = hold("Idempotency-Key", "k");
        assertThat(Caller.resultOf(response)).isEqualTo("3004");
        assertThat(Caller.knowledgeOf(response)).isEqualTo("not-run");
        assertThat(backend.runs()).isEmpty();
    }

    @Test
    void collectedOutcomeIsReplayedAfterATakeOver() throws Exception {
        dispatchedBy(TrafficViews.SELF);
        String first = hold("Idempotency-Key", "k").body();
        dispatchedBy(TrafficViews.OTHER);
        dispatchedBy(TrafficViews.SELF);
        assertThat(hold("Idempotency-Key", "k").body()).isEqualTo(first);
        assertThat(backend.runs()).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"true, , 1000", "true, 1, 1000", "true, 2, 1000", "false, , 4002", "false, 1, 1000", "false, 2, 4002"})
    void freshKeyAfterATakeOverRunsIfItProvablyHasNoEarlierRun(boolean complete, String attempt, String result)
            throws Exception {
        second.complete = complete;
        dispatchedBy(TrafficViews.OTHER);
        dispatchedBy(TrafficViews.SELF);
        HttpResponse<String> response = attempt == null
                ? hold("Idempotency-Key", "k")
                : hold("Idempotency-Key", "k", "Lacewingthread-Attempt", attempt);
        assertThat(Caller.resultOf(response)).isEqualTo(result);
        assertThat(backend.runs()).hasSize(result.equals("1000") ? 1 : 0);
    }

    @Test
    void shardThatWasInMotionStillTakesFreshKeys() throws Exception {
        second.complete = false;
        dispatchedBy(TrafficViews.SELF);
        bench.state.publish(views.inMotion(TrafficBench.leaseFor(LEASE_MILLIS)));
        dispatchedBy(TrafficViews.SELF);
        assertThat(Caller.resultOf(hold("Idempotency-Key", "k"))).isEqualTo("1000");
    }
}
