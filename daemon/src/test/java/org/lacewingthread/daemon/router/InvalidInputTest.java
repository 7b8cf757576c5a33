package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.dispatch.ColdServerRule;
import org.lacewingthread.core.dispatch.LoadReport;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.registry.RegistryFreshness;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry;
import org.lacewingthread.core.serving.CallerLimits;
import org.lacewingthread.core.serving.ServiceSpec;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.FullResponse;

/** Invalid input of operators and servers is logged and counted, and nothing else is lost with it. */
class InvalidInputTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final DataCentreId MARAS = new DataCentreId("maras");
    private static final ServerEntry SERVER =
            new ServerEntry(new ServerStart(new ServerId("i-1"), 7), ORDERS, "10.0.0.1", 8080, MARAS, 4, false, true);

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final EventLog events = new EventLog("vm-1", log, () -> 0);
    private final RouterMetrics metrics = new RouterMetrics();
    private final ServerRegistry registry = new ServerRegistry(2_000, 2_000);

    private void assertLoggedOnce(String... parts) {
        events.close();
        assertThat(log.toString(StandardCharsets.UTF_8).lines())
                .filteredOn(line -> line.contains(parts[0]))
                .singleElement()
                .satisfies(line -> assertThat(line).contains(parts));
    }

    /** Guards against a cold rate that stops all requests to cold servers, or that is ignored without a word. */
    @ParameterizedTest
    @ValueSource(doubles = {0, -0.5, Double.NaN})
    void coldRateThatIsNotAboveZeroIsLoggedAndLimitsNothing(double perSecond) {
        ColdServerControl control = new ColdServerControl(
                new ColdServerSettings(Optional.of(new ColdServerRule(1.5, 8)), 600),
                new DefaultEventLoop(),
                registry,
                () -> 10_000,
                events,
                metrics,
                null);
        control.onConfiguration(new ServingConfiguration(
                4,
                List.of(),
                Map.of(ORDERS, new ServiceSpec(ORDERS, "/", 50, true, OptionalDouble.of(perSecond))),
                CallerLimits.DEFAULT));
        registry.replaceAll(List.of(SERVER), 10_000);
        assertThat(control.addTo(Map.of(), registry.servers(10_000))).isEmpty();
        assertLoggedOnce("\"cold.rate-unusable\"", "\"service\":\"orders\"", "\"version\":4");
        assertThat(metrics.scrape()).contains("lacewingthread_router_cold_rates_unusable_total 1.0");
    }

    /** Guards against a misspelt evacuation that nobody notices, or that stops servers elsewhere. */
    @Test
    void evacuationOfAnUnknownDataCentreIsLoggedAndKeepsAllServers() {
        ControlClock clock = new ControlClock(() -> 10_000_000_000L, () -> 10_000);
        EvacuationControl control = new EvacuationControl(
                new RouterSettings.EvacuationTimes(5_000, 1_000),
                new RegistryFreshness(5_000, () -> 0, () -> 0),
                registry,
                clock,
                events,
                metrics);
        registry.replaceAll(List.of(SERVER), clock.nowMillis());
        control.onEvacuation(new DataCentreId("marras"));
        control.onUnreadableEvacuation("evacuate/");
        assertThat(control.applyTo(registry.servers(clock.nowMillis()))).noneMatch(server -> server.evacuated());
        control.onEvacuation(MARAS);
        assertThat(control.applyTo(registry.servers(clock.nowMillis()))).allMatch(server -> server.evacuated());
        assertLoggedOnce("\"evacuation.unknown-data-centre\"", "\"data_centre\":\"marras\"");
        assertLoggedOnce("\"evacuation.key-unreadable\"", "\"key\":\"evacuate/\"");
        assertThat(metrics.scrape())
                .contains("lacewingthread_router_unknown_total{evacuated=\"data-centre\"} 1.0")
                .contains("lacewingthread_router_evacuations_unreadable_total 1.0");
    }

    /** Guards against a server whose load header floods the log, or whose later reports are lost. */
    @Test
    void malformedLoadIsLoggedOnceAndCountedEachTime() {
        LoadObserver observer = new LoadObserver("Server-Load", events, metrics);
        for (String text : List.of("3,x,4", "", "3,7,0")) {
            assertThat(observer.read(SERVER.start(), responseWithLoad(text))).isEmpty();
        }
        assertThat(observer.read(SERVER.start(), responseWithLoad("3,7,4"))).contains(new LoadReport(3, 7, 4));
        assertLoggedOnce("\"server.load-unreadable\"", "\"server\":\"i-1@7\"", "\"load\":\"3,x,4\"");
        assertThat(metrics.scrape()).contains("lacewingthread_router_loads_unreadable_total 3.0");
    }

    private static FullResponse responseWithLoad(String text) {
        return new FullResponse(200, new DefaultHttpHeaders().add("Server-Load", text), Unpooled.EMPTY_BUFFER);
    }
}
