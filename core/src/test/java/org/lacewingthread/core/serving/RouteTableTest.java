package org.lacewingthread.core.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.ServiceId;

class RouteTableTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId DESK = new ServiceId("desk");

    private static Route route(String name, String host, String prefix, WeightedService... parts) {
        return new Route(name, host, prefix, Repeatability.REPEATABLE, 800, 300, 1, 2, List.of(parts));
    }

    @Test
    void longestMatchingPrefixOfTheHostWins() {
        Route shorter = route("a", "shop.example", "/x/", new WeightedService(ORDERS, 1));
        Route longer = route("b", "shop.example", "/x/y/", new WeightedService(DESK, 1));
        RouteTable table = new RouteTable(List.of(shorter, longer));
        assertThat(table.find("shop.example", "/x/y/1")).contains(longer);
        assertThat(table.find("Shop.Example:8080", "/x/1?path=/x/y/")).contains(shorter);
    }

    @Test
    void otherHostsAndPathsHaveNoRoute() {
        RouteTable table = new RouteTable(List.of(route("a", "shop.example", "/x/", new WeightedService(ORDERS, 1))));
        assertThat(table.find("other.example", "/x/1")).isEmpty();
        assertThat(table.find("shop.example", "/xy")).isEmpty();
        assertThat(table.find("shop.example", "/x")).isEmpty();
    }

    @Test
    void weightedRoundRobinKeepsEachPartWithinOneRequestOfItsShare() {
        Route split = route("a", "h", "/", new WeightedService(ORDERS, 90), new WeightedService(DESK, 10));
        WeightedRoundRobin chooser = new WeightedRoundRobin();
        Map<ServiceId, Integer> counts = new HashMap<>();
        for (int i = 1; i <= 200; i++) {
            counts.merge(chooser.next(split), 1, Integer::sum);
            assertThat(counts.getOrDefault(DESK, 0)).isBetween((int) Math.floor(i * 0.1) - 1, (int) (i * 0.1) + 1);
        }
    }

    @Test
    void prefixWithoutTrailingSlashIsRejectedWithItsValue() {
        assertThatThrownBy(() -> route("a", "h", "/x", new WeightedService(ORDERS, 1)))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("path prefix \"/x\" of route \"a\" is not valid; begin and end it with a slash");
    }
}
