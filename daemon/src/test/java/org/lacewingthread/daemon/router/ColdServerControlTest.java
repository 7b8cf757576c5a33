package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.DefaultEventLoop;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.dispatch.ColdServerRule;
import org.lacewingthread.core.dispatch.LimitKind;
import org.lacewingthread.core.dispatch.NamedLimit;
import org.lacewingthread.core.dispatch.PermitRequest;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry;
import org.lacewingthread.core.serving.CallerLimits;
import org.lacewingthread.core.serving.ServiceSpec;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.daemon.events.EventLog;

class ColdServerControlTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId DESK = new ServiceId("desk");
    private static final ServerStart LIMITED = new ServerStart(new ServerId("i-1"), 7);
    private static final ServerStart UNLIMITED = new ServerStart(new ServerId("i-2"), 7);

    private final DefaultEventLoop eventLoop = new DefaultEventLoop();
    private final ServerRegistry registry = new ServerRegistry(2_000, 2_000);
    private final Sent sent = new Sent();
    private final ColdServerControl control = new ColdServerControl(
            new ColdServerSettings(Optional.of(new ColdServerRule(1.5, 8)), 600),
            eventLoop,
            registry,
            () -> 10_000,
            new EventLog("vm-1", new ByteArrayOutputStream(), () -> 0),
            new RouterMetrics(),
            sent);

    private static final class Sent implements CrashRecordExchange.Broadcaster {
        private final List<ObjectNode> toLeader = new ArrayList<>();
        private final List<ObjectNode> toAll = new ArrayList<>();
        private boolean leading;

        @Override
        public boolean isLeading() {
            return leading;
        }

        @Override
        public boolean isLeaderAnswering() {
            return true;
        }

        @Override
        public void sendToLeader(ObjectNode message) {
            toLeader.add(message);
        }

        @Override
        public void sendToAll(ObjectNode message) {
            toAll.add(message);
        }
    }

    @BeforeEach
    void registerServers() {
        control.onConfiguration(new ServingConfiguration(
                1,
                List.of(),
                Map.of(
                        ORDERS,
                        new ServiceSpec(ORDERS, "/", 50, true, OptionalDouble.of(3.9)),
                        DESK,
                        new ServiceSpec(DESK, "/", 50, false, OptionalDouble.of(Double.NaN))),
                CallerLimits.DEFAULT));
        registry.put(entry(LIMITED, ORDERS));
        registry.put(entry(UNLIMITED, DESK));
    }

    @AfterEach
    void stop() {
        eventLoop.shutdownGracefully();
    }

    private static ServerEntry entry(ServerStart server, ServiceId service) {
        return new ServerEntry(server, service, "10.0.0.1", 8080, new DataCentreId("maras"), 4, false, false);
    }

    private void refuse(ServerStart server) throws InterruptedException {
        control.onSuspected(server, "connection refused");
        eventLoop.submit(() -> {}).sync();
    }

    private boolean isCold(ServerStart server) {
        return registry.servers(10_000).stream()
                .anyMatch(known -> known.start().equals(server) && known.entry().cold());
    }

    /** Guards against full load of all VMs on a server that has restarted and whose entry is older than that. */
    @Test
    void refusedServerCountsAsColdUntilALaterViewAndAllVmsAreTold() throws InterruptedException {
        refuse(LIMITED);
        refuse(LIMITED);
        assertThat(isCold(LIMITED)).isTrue();
        assertThat(sent.toLeader).hasSize(1);
        registry.onCurrent(11_199);
        assertThat(isCold(LIMITED)).isTrue();
        registry.onCurrent(11_200);
        assertThat(isCold(LIMITED)).isFalse();
        sent.leading = true;
        assertThat(control.onMessage(sent.toLeader.get(0))).isTrue();
        assertThat(sent.toAll).hasSize(1);
        assertThat(control.onMessage(sent.toAll.get(0))).isTrue();
        assertThat(sent.toAll).hasSize(1);
    }

    /** Guards against slowing servers of services that state no usable rate. */
    @Test
    void serverOfAServiceWithoutRateIsNotSuspected() throws InterruptedException {
        refuse(UNLIMITED);
        assertThat(isCold(UNLIMITED)).isFalse();
        assertThat(sent.toLeader).isEmpty();
    }

    /** Guards against a leader that takes the rate of a cold server for a limit which the server named. */
    @Test
    void kindOfALimitReachesTheLeader() {
        PermitRequest request = new PermitRequest(3, LIMITED, new NamedLimit(3.9), 0, 1, LimitKind.COLD);
        assertThat(PermitMessages.decodeRequest(PermitMessages.encodeRequest("vm-1", request)))
                .isEqualTo(request);
    }
}
