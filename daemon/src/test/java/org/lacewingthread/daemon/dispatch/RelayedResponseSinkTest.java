package org.lacewingthread.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.core.traffic.ResultCode.Knowledge;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;

/** Requests that are relayed after an earlier attempt failed. */
class RelayedResponseSinkTest {
    private final List<ResultCode> failures = new ArrayList<>();

    private final ResponseSink caller = new ResponseSink() {
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
        public void onFailure(Failure failure) {
            failures.add(failure.code());
        }
    };

    private final PendingRequest pending = new PendingRequest(
            new RoutedRequest(
                    "a",
                    new ShardId(new ApplicationId("ledger"), 3),
                    77,
                    RequestClass.NON_REPEATABLE,
                    "GET",
                    "/rugs/1",
                    List.of(),
                    new byte[0],
                    10_000,
                    Optional.empty(),
                    0),
            caller);

    private void relayFailsWith(ResultCode code) {
        new RelayedResponseSink(pending, again -> failures.add(code)).onFailure(new Failure(code, 100, ""));
    }

    /** Guards against "not run" by another VM for a request that a server ran in an attempt before it was relayed. */
    @ParameterizedTest
    @EnumSource(
            value = ResultCode.class,
            names = {"OVERLOADED", "NO_OWNER", "OWNER_UNREACHABLE", "CALLER_TOO_SLOW"})
    void refusalOfAnotherVmIsNoPromiseIfAnEarlierAttemptMayHaveRun(ResultCode refusal) {
        pending.markMayHaveRun();
        relayFailsWith(refusal);
        assertThat(failures.get(0).knowledge()).isEqualTo(Knowledge.OUTCOME_UNKNOWN);
    }

    @ParameterizedTest
    @EnumSource(
            value = ResultCode.class,
            names = {"OVERLOADED", "ANSWER_LOST"})
    void failureOfAnotherVmIsPassedOnIfThereWasNoEarlierAttempt(ResultCode code) {
        relayFailsWith(code);
        assertThat(failures).containsExactly(code);
    }
}
