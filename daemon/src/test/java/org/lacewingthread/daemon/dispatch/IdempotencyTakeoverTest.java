package org.lacewingthread.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.core.traffic.IdempotencyRecord.Outcome;
import org.lacewingthread.core.traffic.IdempotencyRecord.State;
import org.lacewingthread.core.traffic.IdempotencyRecords;
import org.lacewingthread.daemon.caller.Caller;
import org.lacewingthread.daemon.settings.EntrySettings.CallerLimits;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;

/** Checks repeated requests that reach a VM after it took over from another, with and without its records. */
class IdempotencyTakeoverTest {
    private static final long LEASE_MILLIS = 600_000;

    /** Stores replicated records in memory, as a second entry VM would. */
    private static final class SecondVm implements IdempotencyRecordReplicator {
        private final PeerIdempotencyRecords copies =
                new PeerIdempotencyRecords(IdempotencyRecords.Settings.DEFAULT, TrafficFixture.CLOCK);
        private final List<IdempotencyRecord> puts = new ArrayList<>();
        private ReplicationResult replicationResult = ReplicationResult.ACKNOWLEDGED;
        private final List<Runnable> heldCollections = new ArrayList<>();
        private boolean complete = true;
        private boolean holdsCollections;
        /** Status that an older version stores in place of a record's own; 0 for none. */
        private int storedStatus;

        @Override
        public synchronized void replicate(IdempotencyRecord record, Consumer<ReplicationResult> onResult) {
            puts.add(record);
            copies.put(storedStatus != 0 && record.state() == State.DONE ? withStatus(record) : record);
            onResult.accept(replicationResult);
        }

        synchronized boolean holdsOutcome() {
            return puts.stream().anyMatch(record -> record.state() == State.DONE);
        }

        private IdempotencyRecord withStatus(IdempotencyRecord record) {
            Outcome outcome = record.outcome();
            return new IdempotencyRecord(
                    record.id(),
                    record.fingerprint(),
                    record.state(),
                    new Outcome(storedStatus, outcome.headers(), outcome.body()));
        }

        @Override
        public synchronized void collect(Set<ShardId> shards, Consumer<CollectedRecords> onResult) {
            CollectedRecords collected = new CollectedRecords(complete ? copies.copiesOf(shards) : List.of(), complete);
            if (holdsCollections) {
                heldCollections.add(() -> onResult.accept(collected));
            } else {
                onResult.accept(collected);
            }
        }
    }

    private final SecondVm second = new SecondVm();
    private BackendServerStandIn backend;
    private TrafficFixture fixture;
    private ControlViewFactory views;
    private ServerSpec server;
    private Caller caller;

    @BeforeEach
    void start() throws Exception {
        backend = new BackendServerStandIn(0, BackendSettings.of("s1"));
        server = ControlViewFactory.server("s1", backend.uri().getPort(), 20);
        views = new ControlViewFactory(server);
        fixture = new TrafficFixture(CallerLimits.DEFAULT, second, RelayDirectory.NONE);
        caller = new Caller(fixture.callerServer.port());
    }

    @AfterEach
    void stop() {
        fixture.close();
        backend.close();
    }

    private void publishDispatcher(VmStart vm) {
        fixture.state.publish(views.ownedBy(server.id(), vm, TrafficFixture.deadlineIn(LEASE_MILLIS)));
    }

    private HttpResponse<String> hold(String... headers) throws Exception {
        return caller.post("/holds/1", "{}", headers);
    }

    @Test
    void recordIsCopiedBeforeTheRequestIsSentAndAgainWithItsOutcome() throws Exception {
        publishDispatcher(ControlViewFactory.SELF);
        hold("Idempotency-Key", "k");
        await().until(second::holdsOutcome);
        assertThat(second.puts).extracting(IdempotencyRecord::state).containsExactly(State.MAY_HAVE_RUN, State.DONE);
    }

    @Test
    void requestWhoseRecordCannotBeCopiedIsNotSent() throws Exception {
        second.replicationResult = IdempotencyRecordReplicator.ReplicationResult.FAILED;
        publishDispatcher(ControlViewFactory.SELF);
        HttpResponse<String> response = hold("Idempotency-Key", "k");
        assertThat(Caller.resultOf(response)).isEqualTo("3004");
        assertThat(Caller.knowledgeOf(response)).isEqualTo("not-run");
        assertThat(backend.runs()).isEmpty();
    }

    @Test
    void collectedOutcomeIsReplayedAfterTakeover() throws Exception {
        publishDispatcher(ControlViewFactory.SELF);
        String first = hold("Idempotency-Key", "k").body();
        publishDispatcher(ControlViewFactory.OTHER);
        publishDispatcher(ControlViewFactory.SELF);
        assertThat(hold("Idempotency-Key", "k").body()).isEqualTo(first);
        assertThat(backend.runs()).hasSize(1);
    }

    /** Guards against "not run" replayed for a request that ran, from a record of an older version. */
    @ParameterizedTest
    @ValueSource(ints = {503, 429, 408, 421})
    void storedPromiseIsReplayedAsAFailureWithUnknownOutcome(int status) throws Exception {
        second.storedStatus = status;
        runRepeatOnOtherVm();
        publishDispatcher(ControlViewFactory.SELF);
        HttpResponse<String> replayed = hold("Idempotency-Key", "k", "Lacewingthread-Attempt", "3");
        assertThat(replayed.statusCode()).isEqualTo(502);
        assertThat(Caller.resultOf(replayed)).isEqualTo("4004");
        assertThat(backend.runs()).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"true, , 1000", "true, 1, 1000", "true, 2, 1000", "false, , 4002", "false, 1, 1000", "false, 2, 4002"})
    void newKeyAfterTakeoverRunsOnlyIfItProvablyHasNoEarlierRun(boolean complete, String attempt, String result)
            throws Exception {
        second.complete = complete;
        publishDispatcher(ControlViewFactory.OTHER);
        publishDispatcher(ControlViewFactory.SELF);
        HttpResponse<String> response = attempt == null
                ? hold("Idempotency-Key", "k")
                : hold("Idempotency-Key", "k", "Lacewingthread-Attempt", attempt);
        assertThat(Caller.resultOf(response)).isEqualTo(result);
        assertThat(backend.runs()).hasSize(result.equals("1000") ? 1 : 0);
    }

    /** Guards against sending a queued request that another VM ran while this VM had no dispatch lease. */
    @Test
    void requestQueuedBeforeLeaseLapsedIsNotSentAfterAnotherVmRanItsRepeat() throws Exception {
        fixture.state.publish(views.ownedBy(server.id(), ControlViewFactory.SELF, TrafficFixture.deadlineIn(-1)));
        CompletableFuture<HttpResponse<String>> first = CompletableFuture.supplyAsync(() -> holdUnchecked("1"));
        await().until(() ->
                fixture.registry.get("lacewingthread.server.queued").gauge().value() == 1);
        String repeat = runRepeatOnOtherVm();

        publishDispatcher(ControlViewFactory.SELF);

        assertThat(first.get(10, TimeUnit.SECONDS).body()).isEqualTo(repeat);
        assertThat(backend.runs()).hasSize(1);
    }

    /** Guards against taking the answer to an earlier collection of records for that of the newest one. */
    @Test
    void answerToCollectionBeforeShardWasLostDoesNotCompleteTheNextCollection() throws Exception {
        second.holdsCollections = true;
        publishDispatcher(ControlViewFactory.SELF);
        Runnable firstAnswer = second.heldCollections.remove(0);
        publishDispatcher(ControlViewFactory.OTHER);
        second.holdsCollections = false;
        String repeat = runRepeatOnOtherVm();
        second.holdsCollections = true;
        publishDispatcher(ControlViewFactory.SELF);

        firstAnswer.run();
        CompletableFuture<HttpResponse<String>> again = CompletableFuture.supplyAsync(() -> holdUnchecked("2"));
        await().pollDelay(300, TimeUnit.MILLISECONDS).until(() -> true);
        assertThat(backend.runs()).hasSize(1);
        second.heldCollections.remove(0).run();

        assertThat(again.get(10, TimeUnit.SECONDS).body()).isEqualTo(repeat);
        assertThat(backend.runs()).hasSize(1);
    }

    /** Runs a second attempt on another VM that dispatches for the server; returns the body of the response. */
    private String runRepeatOnOtherVm() throws Exception {
        try (TrafficFixture other = new TrafficFixture(CallerLimits.DEFAULT, second, RelayDirectory.NONE)) {
            other.state.publish(new ControlViewFactory(server)
                    .ownedBy(server.id(), ControlViewFactory.SELF, TrafficFixture.deadlineIn(LEASE_MILLIS)));
            HttpResponse<String> response = new Caller(other.callerServer.port())
                    .post("/holds/1", "{}", "Idempotency-Key", "k", "Lacewingthread-Attempt", "2");
            assertThat(Caller.resultOf(response)).isEqualTo("1000");
            assertThat(backend.runs()).hasSize(1);
            // The response is whole for its caller before the VM has recorded the outcome.
            await().until(second::holdsOutcome);
            return response.body();
        }
    }

    private HttpResponse<String> holdUnchecked(String attempt) {
        try {
            return hold("Idempotency-Key", "k", "Lacewingthread-Attempt", attempt);
        } catch (Exception e) {
            throw new IllegalStateException("the request could not be made", e);
        }
    }

    @Test
    void shardReturningToTheSameVmAcceptsNewKeys() throws Exception {
        second.complete = false;
        publishDispatcher(ControlViewFactory.SELF);
        fixture.state.publish(views.inMotion(TrafficFixture.deadlineIn(LEASE_MILLIS)));
        publishDispatcher(ControlViewFactory.SELF);
        assertThat(Caller.resultOf(hold("Idempotency-Key", "k"))).isEqualTo("1000");
    }
}
