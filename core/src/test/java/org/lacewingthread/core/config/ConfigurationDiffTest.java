package org.lacewingthread.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingthread.core.config.TestConfigurations.application;
import static org.lacewingthread.core.config.TestConfigurations.selector;
import static org.lacewingthread.core.config.TestConfigurations.server;
import static org.lacewingthread.core.config.TestConfigurations.validConfiguration;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationDiffTest {
    @Test
    void listsAddedRemovedAndChangedParts() {
        RoutingConfiguration after = new RoutingConfiguration(
                List.of(
                        application("ledger", 16, selector("rugs", "/carpets", 1, "GET")),
                        application("desk", 32, selector("entries", "/entries", 1))),
                List.of(
                        server("s1", "maras", "10.0.0.1", 81, "app=ledger", "size=big"),
                        server("s3", "maras", "10.0.0.3", 80)));

        ConfigurationDiff diff = ConfigurationDiff.between(validConfiguration(), after);

        assertThat(diff.text())
                .isEqualTo(String.join(
                        "\n",
                        "+ application desk",
                        "~ selector ledger/rugs pathPrefix: /rugs -> /carpets",
                        "+ selector desk/entries",
                        "~ server s1 port: 80 -> 81",
                        "~ server s1 labels: [app=ledger] -> [app=ledger, size=big]",
                        "- server s2",
                        "+ server s3",
                        ""));
    }

    @Test
    void isEmptyForEqualConfigurations() {
        assertThat(ConfigurationDiff.between(validConfiguration(), validConfiguration())
                        .isEmpty())
                .isTrue();
    }
}
