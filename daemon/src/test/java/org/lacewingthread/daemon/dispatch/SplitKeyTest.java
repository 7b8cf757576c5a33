package org.lacewingthread.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.routing.KeyHash;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.daemon.caller.Caller;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;

/** Checks requests and their idempotency records for a key that was split out of its shard and moved. */
class SplitKeyTest {
    private static final String KEY = "1";
    private static final long LEASE_MILLIS = 600_000;

    private BackendServerStandIn first;
    private BackendServerStandIn second;
    private ServerSpec firstSpec;
    private ServerSpec secondSpec;
    private ControlViewFactory views;
    private TrafficFixture fixture;
    private Caller caller;

    @BeforeEach
    void start() throws Exception {
        first = new BackendServerStandIn(0, BackendSettings.of("s1"));
        second = new BackendServerStandIn(0, BackendSettings.of("s2"));
        firstSpec = ControlViewFactory.server("s1", first.uri().getPort(), 20);
        secondSpec = ControlViewFactory.server("s2", second.uri().getPort(), 20);
        views = new ControlViewFactory(firstSpec, secondSpec);
        fixture = new TrafficFixture();
        caller = new Caller(fixture.callerServer.port());
        fixture.state.publish(
                views.ownedBy(firstSpec.id(), ControlViewFactory.SELF, TrafficFixture.deadlineIn(LEASE_MILLIS)));
    }

    @AfterEach
    void stop() {
        fixture.close();
        first.close();
        second.close();
    }

    private void publishSplitKeyOwner(ServerSpec owner) {
        fixture.state.publish(views.splitOut(KEY, firstSpec.id(), owner.id(), TrafficFixture.deadlineIn(LEASE_MILLIS)));
    }

    @Test
    void repeatFindsItsRecordAfterItsKeyWasSplitOutAndMoved() throws Exception {
        HttpResponse<String> attempt = caller.post("/holds/" + KEY, "{}", "Idempotency-Key", "k");
        publishSplitKeyOwner(firstSpec);
        publishSplitKeyOwner(secondSpec);
        HttpResponse<String> repeat = caller.post("/holds/" + KEY, "{}", "Idempotency-Key", "k");
        assertThat(repeat.body()).isEqualTo(attempt.body());
        assertThat(first.runs()).hasSize(1);
        assertThat(second.runs()).isEmpty();
    }

    @Test
    void requestNamingTheFormerShardOfAKeyGoesToTheKeysCurrentOwner() {
        publishSplitKeyOwner(secondSpec);
        ShardId former = new ShardId(ControlViewFactory.LEDGER, (int) (KeyHash.of(KEY) & 15));
        RoutedRequest stale = new RoutedRequest(
                "r1",
                former,
                KeyHash.of(KEY),
                RequestClass.LOOKUP,
                "GET",
                "/rugs/" + KEY,
                List.of(),
                new byte[0],
                TrafficFixture.deadlineIn(LEASE_MILLIS),
                Optional.empty(),
                1);
        fixture.router.handle(stale, new DiscardingSink());
        await().until(() -> second.runs().size() == 1);
        assertThat(first.runs()).isEmpty();
    }

    /** Consumes a response without looking at it. */
    private static final class DiscardingSink implements ResponseSink {
        @Override
        public boolean isAbandoned() {
            return false;
        }

        @Override
        public void onHead(ResponseStatus status, List<HeaderField> headers) {}

        @Override
        public void onBody(byte[] chunk, Runnable consumed) {
            consumed.run();
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(Failure failure) {}
    }
}
