package org.lacewingthread.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.lacewingthread.core.config.TestConfigurations.application;
import static org.lacewingthread.core.config.TestConfigurations.selector;
import static org.lacewingthread.core.config.TestConfigurations.server;
import static org.lacewingthread.core.config.TestConfigurations.validConfiguration;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.config.ConfigurationValidator.Kind;
import org.lacewingthread.core.config.ConfigurationValidator.Problem;

class ConfigurationValidatorTest {
    private static final RequestSelector RUGS = selector("rugs", "/rugs", 1, "GET");

    static Stream<Arguments> applications() {
        return Stream.of(
                arguments(
                        Kind.DUPLICATE_APPLICATION,
                        List.of(
                                application("ledger", 16, RUGS),
                                application("ledger", 16, selector("yarn", "/yarn", 1))),
                        "applications[1].id: \"ledger\" is used by applications[0] already; choose another"),
                arguments(
                        Kind.SHARD_COUNT_CHANGED,
                        List.of(application("ledger", 32, RUGS)),
                        "applications[0].shardCount: \"32\" is fixed for the application's life; set it back to 16"),
                arguments(
                        Kind.NO_SELECTORS,
                        List.of(application("ledger", 16)),
                        "applications[0].selectors: \"[]\" matches no request; add a selector"),
                arguments(
                        Kind.DUPLICATE_SELECTOR,
                        List.of(application("ledger", 16, RUGS, selector("rugs", "/yarn", 1))),
                        "applications[0].selectors[1].name: \"rugs\" is used by applications[0].selectors[0] already;"
                                + " choose another"),
                arguments(
                        Kind.AMBIGUOUS_SELECTORS,
                        List.of(application("ledger", 16, RUGS, selector("all", "/rugs/", 1))),
                        "applications[0].selectors[1].pathPrefix: \"/rugs/\" matches the same prefix and method as"
                                + " selector \"rugs\"; change the prefix or the methods of one"),
                arguments(
                        Kind.BAD_METHOD,
                        List.of(application("ledger", 16, selector("rugs", "/rugs", 1, "get"))),
                        "applications[0].selectors[0].methods[0]: \"get\" is no HTTP method; write it like \"GET\""),
                arguments(
                        Kind.BAD_HEADER_NAME,
                        List.of(application("ledger", 16, selector("rugs", "/rugs", KeySource.Kind.HEADER, "rug id"))),
                        "applications[0].selectors[0].key.name: \"rug id\" is no HTTP header name; use letters and"
                                + " hyphens"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("applications")
    void findsProblemsOfApplications(Kind kind, List<ApplicationSpec> applications, String text) {
        RoutingConfiguration configuration =
                new RoutingConfiguration(applications, validConfiguration().servers());

        List<Problem> problems = ConfigurationValidator.validate(configuration, validConfiguration());

        assertThat(problems).extracting(Problem::kind).containsExactly(kind);
        assertThat(problems).extracting(Problem::toString).containsExactly(text);
    }

    static Stream<Arguments> servers() {
        return Stream.of(
                arguments(
                        Kind.DUPLICATE_SERVER,
                        server("s1", "maras", "10.0.0.9", 80, "app=ledger"),
                        "servers[2].id: \"s1\" is used by servers[0] already; choose another"),
                arguments(
                        Kind.DUPLICATE_ADDRESS,
                        server("s3", "maras", "10.0.0.2", 80, "app=ledger"),
                        "servers[2].port: \"10.0.0.2:80\" is used by servers[1] already; choose another"),
                arguments(
                        Kind.DUPLICATE_LABEL,
                        server("s3", "maras", "10.0.0.3", 80, "app=ledger", "app=desk"),
                        "servers[2].labels[1].name: \"app\" is used by servers[2].labels[0] already; choose another"),
                arguments(
                        Kind.EMPTY_GROUP,
                        server("s3", "calca", "10.0.0.3", 80),
                        "applications[0].group: \"[app=ledger]\" selects no server in data centre \"calca\"; label one if"
                                + " it is to own shards"),
                arguments(
                        Kind.HOST_NOT_IP_ADDRESS,
                        server("s3", "maras", "s3.example", 80, "app=ledger"),
                        "servers[2].host: \"s3.example\" is no IP address; give the server's address"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("servers")
    void findsProblemsOfServers(Kind kind, ServerSpec third, String text) {
        List<ServerSpec> servers = Stream.concat(validConfiguration().servers().stream(), Stream.of(third))
                .toList();

        List<Problem> problems = ConfigurationValidator.validate(
                new RoutingConfiguration(validConfiguration().applications(), servers), validConfiguration());

        assertThat(problems).extracting(Problem::kind).containsExactly(kind);
        assertThat(problems).extracting(Problem::toString).containsExactly(text);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/a?b", "/a#b", "/a b", "/%61", "//a", "/a//b", "/a/./b", "/a/..", "/a;b", "/a\\b"})
    void findsPrefixesThatMatchNoPath(String prefix) {
        RoutingConfiguration configuration = new RoutingConfiguration(
                List.of(application("ledger", 16, selector("rugs", prefix, 1))),
                validConfiguration().servers());

        assertThat(ConfigurationValidator.validate(configuration, validConfiguration()))
                .extracting(Problem::kind)
                .containsExactly(Kind.BAD_PREFIX);
    }

    @Test
    void warnsOfAServerWithFewerConnectionsThanSlots() {
        ServerSpec server = new ServerSpec(
                validConfiguration().servers().get(0).id(),
                validConfiguration().servers().get(0).dataCentre(),
                "10.0.0.1",
                80,
                List.of(new Label("app", "ledger")),
                4,
                3,
                true,
                false);

        assertThat(ConfigurationValidator.validate(
                        new RoutingConfiguration(validConfiguration().applications(), List.of(server)),
                        validConfiguration()))
                .extracting(Problem::path, Problem::isError)
                .containsExactly(tuple("servers[0].maxConnections", false));
    }

    @Test
    void findsNoProblemsInAValidConfiguration() {
        assertThat(ConfigurationValidator.validate(validConfiguration(), validConfiguration()))
                .isEmpty();
        assertThat(ConfigurationValidator.validate(RoutingConfiguration.EMPTY, validConfiguration()))
                .isEmpty();
    }

    @Test
    void selectorsMayShareAPrefixIfTheirMethodsDiffer() {
        RoutingConfiguration configuration = new RoutingConfiguration(
                List.of(application("ledger", 16, RUGS, selector("holds", "/rugs", 1, "POST", "PUT"))),
                validConfiguration().servers());

        assertThat(ConfigurationValidator.validate(configuration, validConfiguration()))
                .isEmpty();
    }
}
