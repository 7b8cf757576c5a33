package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.http.FullResponse;

/** Guards against memory for responses between entry VMs that no bound counts, or that stays counted after their end. */
class RelayedResponseMemoryTest {
    private static final ResponseStatus OK = ResponseStatus.ofServer(200).orElseThrow();
    private static final List<HeaderField> FIELDS =
            List.of(RelayAttempt.answeredBy(new ServerStart(new ServerId("i-1"), 7)));

    private final MemoryAccount account = new MemoryAccount(100_000);
    private final List<String> results = new ArrayList<>();
    private final List<Runnable> passedOn = new ArrayList<>();

    private RelayAttempt attempt(String name) {
        RelayPeer peer = new RelayPeer(new VmId("vm-2"), new DataCentreId("maras"), "127.0.0.1", 1);
        RelayAttempt attempt = new RelayAttempt(peer, 0, account, () -> 0, new RelayAttempt.Listener() {
            @Override
            public void onResponse(RelayAttempt ended, FullResponse response) {
                results.add(name + " " + response.body().readableBytes());
            }

            @Override
            public void onFailure(RelayAttempt ended, Failure failure) {
                results.add(name + " " + failure.code());
            }
        });
        attempt.setCancellation(() -> results.add(name + " cancelled"));
        attempt.onHead(OK, FIELDS);
        return attempt;
    }

    private void assertFreedBy(Consumer<RelayAttempt> end) {
        RelayAttempt attempt = attempt("a");
        attempt.onBody(new byte[30_000], () -> {});
        assertThat(account.heldBytes()).isGreaterThanOrEqualTo(30_000);
        end.accept(attempt);
        assertThat(account.heldBytes()).isZero();
    }

    @Test
    void responseOfAnotherVmCountsUntilTheAttemptEnds() {
        assertFreedBy(RelayAttempt::onEnd);
        assertFreedBy(attempt -> attempt.onFailure(new Failure(ResultCode.RELAY_LOST, 0, "the link was lost")));
        assertFreedBy(RelayAttempt::cancel);
        assertThat(results).containsExactly("a 30000", "a RELAY_LOST", "a cancelled");
    }

    @Test
    void largestResponseOfAnotherVmFailsWithUnknownOutcome() {
        RelayAttempt small = attempt("small");
        RelayAttempt large = attempt("large");
        small.onBody(new byte[20_000], () -> {});
        for (int i = 0; i < 10; i++) {
            large.onBody(new byte[10_000], () -> {});
        }
        small.onEnd();
        assertThat(results).containsExactly("large cancelled", "large ANSWER_LOST", "small 20000");
        assertThat(account.heldBytes()).isZero();
    }

    /** Also guards against responses that are given up although they are ready. */
    @Test
    void responseForAnotherVmCountsUntilItsConnectionTookIt() {
        CountedSink sink = new CountedSink(new SlowSink(), account, () -> 0, change -> {});
        sink.onHead(OK, FIELDS);
        sink.onBody(new byte[90_000], () -> {});
        sink.onEnd();
        assertThat(account.heldBytes()).isEqualTo(90_000);
        attempt("other").onBody(new byte[20_000], () -> {});
        assertThat(results).containsExactly("other cancelled", "other ANSWER_LOST");
        passedOn.forEach(Runnable::run);
        assertThat(account.heldBytes()).isZero();
    }

    /** Sink whose connection takes nothing until the test says so. */
    private final class SlowSink implements ResponseSink {
        @Override
        public boolean isAbandoned() {
            return false;
        }

        @Override
        public void onHead(ResponseStatus status, List<HeaderField> headers) {}

        @Override
        public void onBody(byte[] chunk, Runnable consumed) {}

        @Override
        public void onEnd() {}

        @Override
        public void onEnd(Runnable whenPassedOn) {
            passedOn.add(whenPassedOn);
        }

        @Override
        public void onFailure(Failure failure) {}
    }
}
