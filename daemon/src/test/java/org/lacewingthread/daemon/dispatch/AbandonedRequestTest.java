package org.lacewingthread.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.routing.KeyHash;
import org.lacewingthread.daemon.caller.Caller;
import org.lacewingthread.daemon.exchange.AbandonedSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;

/** Requests of the project's own way of running for whose response nobody waits any more. */
class AbandonedRequestTest {
    private static final String KEY = "1";
    private static final long LEASE_MILLIS = 600_000;
    private static final long SETTLE_MILLIS = 300;
    private static final int CALLERS = 8;

    private BackendServerStandIn server;
    private TrafficFixture fixture;

    @BeforeEach
    void start() throws Exception {
        server = new BackendServerStandIn(0, BackendSettings.of("s1"));
        ServerSpec spec = ControlViewFactory.server("s1", server.uri().getPort(), 20);
        fixture = new TrafficFixture();
        fixture.state.publish(new ControlViewFactory(spec)
                .ownedBy(spec.id(), ControlViewFactory.SELF, TrafficFixture.deadlineIn(LEASE_MILLIS)));
    }

    @AfterEach
    void stop() {
        fixture.close();
        server.close();
    }

    /** Guards against a request that is sent although the end of its connection arrived before it was read. */
    @Test
    void requestThatIsReadTogetherWithTheEndOfItsConnectionIsNotSent() throws Exception {
        Caller caller = new Caller(fixture.callerServer.port());
        assertThat(caller.get("/rugs/" + KEY).statusCode()).isEqualTo(200);
        List<Socket> connected = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            connected.add(new Socket(InetAddress.getLoopbackAddress(), fixture.callerServer.port()));
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        long runsBefore = server.runs().size();
        CountDownLatch end = fixture.holdUpThreads();
        for (Socket socket : connected) {
            socket.getOutputStream()
                    .write(("GET /rugs/" + KEY + " HTTP/1.1\r\nHost: a\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            socket.close();
        }
        end.countDown();
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        assertThat(server.runs()).hasSize((int) runsBefore);
    }

    private static RoutedRequest request(RequestClass requestClass) {
        return new RoutedRequest(
                "r1",
                new ShardId(ControlViewFactory.LEDGER, (int) (KeyHash.of(KEY) & 15)),
                KeyHash.of(KEY),
                requestClass,
                "GET",
                "/rugs/" + KEY,
                List.of(),
                new byte[0],
                TrafficFixture.deadlineIn(LEASE_MILLIS),
                Optional.empty(),
                0);
    }

    /** Guards against a request that is sent after its caller left, because the thread that sends it does not know. */
    @Test
    void requestOfACallerThatLeftIsNotSent() throws Exception {
        fixture.router.handle(request(RequestClass.LOOKUP), new AbandonedSink());
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        assertThat(server.runs()).isEmpty();
        Caller caller = new Caller(fixture.callerServer.port());
        assertThat(caller.get("/rugs/" + KEY).statusCode()).isEqualTo(200);
        assertThat(server.runs()).isNotEmpty().noneMatch(run -> run.requestId().equals("r1"));
    }
}
