package org.lacewingthread.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.Repeatability;
import org.lacewingthread.daemon.exchange.RelayedRequest;
import org.lacewingthread.daemon.peer.wire.PeerWire;

/** Relayed requests whose cancellation arrives together with them. */
class CancelledRelayTest {
    private static final long NOW_MILLIS = 1_000;

    private final AtomicInteger handled = new AtomicInteger();
    private final AtomicInteger cancelled = new AtomicInteger();
    private final RelayServer server = new RelayServer(
            new EmbeddedChannel(),
            (request, sink) -> () -> {},
            (request, sink) -> {
                handled.incrementAndGet();
                return cancelled::incrementAndGet;
            },
            () -> NOW_MILLIS);

    private static PeerWire.Frame start(long stream) {
        RelayedRequest request = new RelayedRequest(
                "a-1",
                new ServiceId("desk"),
                OptionalInt.empty(),
                "desk",
                Repeatability.AT_MOST_ONCE,
                0,
                1,
                NOW_MILLIS + 500,
                NOW_MILLIS + 300,
                300,
                "POST",
                "/d/1",
                List.of(),
                new byte[0],
                Set.of());
        return RequestCodec.encode(stream, request, NOW_MILLIS);
    }

    private static PeerWire.Frame cancel(long stream) {
        return PeerWire.Frame.newBuilder()
                .setRequestCancel(PeerWire.RequestCancel.newBuilder().setStream(stream))
                .build();
    }

    /** Guards against a relayed request that is sent although its cancellation was read with it. */
    @Test
    void requestThatIsReadWithItsCancellationIsNotHandled() {
        server.onFrame(start(1));
        server.onFrame(start(2));
        server.onFrame(cancel(1));
        server.onReadComplete();
        assertThat(handled).hasValue(1);
        assertThat(cancelled).hasValue(0);
    }

    @Test
    void laterCancellationIsPassedOn() {
        server.onFrame(start(1));
        server.onReadComplete();
        server.onFrame(cancel(1));
        server.onReadComplete();
        assertThat(handled).hasValue(1);
        assertThat(cancelled).hasValue(1);
    }
}
