package org.lacewingthread.core.explain;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.CallerLimits;
import org.lacewingthread.core.serving.Repeatability;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.serving.RouteResolution;
import org.lacewingthread.core.serving.RouteTable;
import org.lacewingthread.core.serving.ServiceSpec;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.core.serving.WeightedRoundRobin;
import org.lacewingthread.core.serving.WeightedService;
import org.lacewingthread.core.traffic.ResultCode;

class RouteExplanationTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId DESK = new ServiceId("desk");
    private static final Route SPLIT = new Route(
            "shop",
            "shop.example",
            "/shop/",
            Repeatability.REPEATABLE,
            2_000,
            500,
            0,
            2,
            List.of(new WeightedService(ORDERS, 1), new WeightedService(DESK, 2)));
    private static final Optional<ServingConfiguration> CONFIGURATION = Optional.of(new ServingConfiguration(
            4,
            List.of(SPLIT),
            Map.of(
                    ORDERS, new ServiceSpec(ORDERS, "/h", 5, true),
                    DESK, new ServiceSpec(DESK, "/h", 5, false)),
            CallerLimits.DEFAULT));

    private final WeightedRoundRobin split = new WeightedRoundRobin();

    private RouteResolution resolve(Optional<ServingConfiguration> configuration, String path, OptionalInt key) {
        RouteTable routes =
                new RouteTable(configuration.map(ServingConfiguration::routes).orElse(List.of()));
        return RouteResolution.resolve(configuration, routes, "shop.example", path, key, split::peek);
    }

    private static RouteExplanation explanation(RouteResolution resolution) {
        return new RouteExplanation(
                new RouteQuestion("GET", "shop.example", "/", OptionalInt.empty(), OptionalLong.empty()),
                OptionalLong.empty(),
                resolution,
                Optional.empty(),
                new ViewAges(OptionalLong.empty(), OptionalLong.empty()),
                false,
                List.of());
    }

    /** Guards against an answer without the status that a request without route or configuration gets. */
    @Test
    void missingConfigurationAndMissingRouteAreRefusals() {
        assertThat(explanation(resolve(Optional.empty(), "/shop/1", OptionalInt.empty()))
                        .refusal())
                .contains(ResultCode.NOT_READY);
        RouteExplanation unrouted = explanation(resolve(CONFIGURATION, "/other", OptionalInt.empty()));
        assertThat(unrouted.refusal()).contains(ResultCode.NO_SELECTOR);
        assertThat(unrouted.retryAfterMillis()).isEmpty();
    }

    /** Guards against questions that shift the split of real requests. */
    @Test
    void splitIsShownAsTheNextRequestTakesItAndStays() {
        for (int i = 0; i < 30; i++) {
            ServiceId shown = resolve(CONFIGURATION, "/shop/1", OptionalInt.of(7))
                    .service()
                    .orElseThrow();
            assertThat(resolve(CONFIGURATION, "/shop/1", OptionalInt.of(7)).service())
                    .contains(shown);
            assertThat(split.next(SPLIT)).isEqualTo(shown);
        }
    }

    /** Guards against a keyed request without key that looks routable. */
    @Test
    void keyedPartNeedsAKeyAndTheOtherIgnoresIt() {
        assertThat(resolve(CONFIGURATION, "/shop/1", OptionalInt.of(7)).key()).isEmpty();
        split.next(SPLIT);
        assertThat(resolve(CONFIGURATION, "/shop/1", OptionalInt.of(7)).key()).hasValue(7);
        assertThat(resolve(CONFIGURATION, "/shop/1", OptionalInt.empty()).failure())
                .contains(ResultCode.KEY_MISSING);
    }

    /** Guards against errors that don't tell which part of the input is wrong, and how to mend it. */
    @Test
    void incompleteQuestionsAreQuotedWithTheFix() {
        assertThatThrownBy(() -> RouteQuestion.parse(Map.of("path", "/a")))
                .hasMessage("host \"\" is empty or missing in \"path=/a\"; give the host name that the caller uses");
        assertThatThrownBy(() -> RouteQuestion.parse(Map.of("host", "h")))
                .hasMessage("path \"\" is empty or missing in \"host=h\"; give a path like /orders/17");
        assertThatThrownBy(() -> RouteQuestion.parse(Map.of("host", "h", "path", "/", "deadline_ms", "soon")))
                .hasMessageStartingWith("deadline \"soon\" is not a number of milliseconds; give one like 800");
        assertThatThrownBy(() -> RouteQuestion.parse(Map.of("host", "h", "path", "/", "key", "70000")))
                .hasMessage("key \"70000\" is not a number from 0 to 65535");
        assertThatThrownBy(() -> RouteQuestion.parse(Map.of("host", "h", "path", "a")))
                .hasMessageContaining("path \"a\" does not begin with a slash");
    }
}
