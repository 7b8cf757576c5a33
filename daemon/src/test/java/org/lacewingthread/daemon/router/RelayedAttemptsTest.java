package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.reachability.RelayPeer;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;

/** Requests that other entry VMs send to servers, since this one reaches none. */
class RelayedAttemptsTest extends EngineFixture {
    private final List<Integer> handedOver = new ArrayList<>();

    private void relay(ResultCode... results) throws IOException {
        HttpServer ended = startServer(exchange -> {});
        List<Failure> failures = new ArrayList<>(
                Stream.of(results).map(code -> new Failure(code, 0, "")).toList());
        relayTransport = (peer, request, sink) -> {
            handedOver.add(request.maxAttempts());
            eventLoop.execute(() -> sink.onFailure(failures.remove(0)));
            return () -> {};
        };
        ended.stop(0);
        eventLoop.execute(() -> {
            engine.relays()
                    .setPeers(List.of(
                            new RelayPeer(new VmId("vm-2"), HERE, "10.0.0.2", 80),
                            new RelayPeer(new VmId("vm-3"), HERE, "10.0.0.3", 80)));
            engine.onTopologyChange(List.of(server("i-1", DESK, ended)), RangeTable.EMPTY);
            request("reads", null);
        });
        await().until(() -> !answeredStatuses.isEmpty());
    }

    /** Guards against more servers than max_attempts, since the other VM may have used all attempts handed over. */
    @Test
    void attemptsHandedOverAreUsedUpIfTheirOutcomeIsUnknown() throws IOException {
        relay(ResultCode.RELAY_LOST, ResultCode.RELAY_LOST);
        assertThat(handedOver.stream().mapToInt(Integer::intValue).sum()).isLessThanOrEqualTo(2);
    }

    /** Guards against attempts that count although the other VM made none. */
    @Test
    void attemptsOfAVmThatReachesNoServerAreLeftToTheNextOne() throws IOException {
        relay(ResultCode.SERVERS_UNREACHABLE, ResultCode.DEADLINE_PASSED);
        assertThat(handedOver).containsExactly(2, 2);
        assertThat(answeredStatuses).containsExactly(503);
        assertThat(answeredRetryAfters.get(0)).isPresent();
    }
}
