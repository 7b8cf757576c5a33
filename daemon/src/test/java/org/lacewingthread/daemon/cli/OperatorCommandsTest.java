package org.lacewingthread.daemon.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.standin.LogServiceStandIn;

class OperatorCommandsTest {
    private static final String ROUTING_EXAMPLE =
            Path.of("..", "docs", "examples", "routing.json").toString();

    private LogServiceStandIn log;
    private String address;

    @BeforeEach
    void open() throws IOException {
        log = new LogServiceStandIn(0);
        address = log.uri().getHost() + ":" + log.uri().getPort();
    }

    @AfterEach
    void close() {
        log.close();
    }

    @Test
    void publishedConfigurationIsReadBack() {
        assertThat(run("config", "publish", ROUTING_EXAMPLE, "--base", "-1", "--log", address)
                        .out())
                .isEqualTo("accepted as revision 0\n");
        assertThat(run("config", "get", "--log", address).err()).isEqualTo("revision 0\n");
        assertThat(run("config", "diff", ROUTING_EXAMPLE, "--log", address).out())
                .isEmpty();
        assertThat(run("config", "history", "--log", address).out())
                .contains("configuration-published")
                .contains("accepted");
    }

    @Test
    void publishOnOutdatedBaseExitsWithConflict() {
        run("config", "publish", ROUTING_EXAMPLE, "--base", "-1", "--log", address);
        CommandLine second = new CommandLine();
        assertThat(second.run("config", "publish", ROUTING_EXAMPLE, "--base", "-1", "--log", address))
                .isEqualTo(ExitCode.CONFLICT);
        assertThat(second.err()).contains("configuration is at revision 0, not at -1");
    }

    @Test
    void publishWithoutBaseExitsWithUsageError() {
        CommandLine commandLine = new CommandLine();
        assertThat(commandLine.run("config", "publish", ROUTING_EXAMPLE, "--log", address))
                .isEqualTo(ExitCode.USAGE);
        assertThat(commandLine.err()).contains("no --base given");
    }

    @Test
    void drainIsRecordedInAuditTrail() {
        run("config", "publish", ROUTING_EXAMPLE, "--base", "-1", "--log", address);
        assertThat(run("drain", "server", "maras-ledger-1", "--log", address, "--author", "quispe")
                        .out())
                .isEqualTo("recorded at offset 1\n");
        assertThat(run("audit", "--log", address).out()).contains("quispe").contains("maras-ledger-1");
        assertThat(run("audit", "--json", "--log", address).out()).contains("\"author\":\"quispe\"");
    }

    @Test
    void unreachableLogExitsWithUnreachableCode() {
        log.close();
        CommandLine commandLine = new CommandLine();
        assertThat(commandLine.run("config", "get", "--log", address)).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(commandLine.err()).startsWith("log \"" + address + "\" can't be used: ");
    }

    @Test
    void addressWithoutPortExitsWithUsageError() {
        CommandLine commandLine = new CommandLine();
        assertThat(commandLine.run("status", "--operator", "localhost")).isEqualTo(ExitCode.USAGE);
        assertThat(commandLine.err()).isEqualTo("operator address \"localhost\" is not host:port\n");
    }

    private static CommandLine run(String... arguments) {
        CommandLine commandLine = new CommandLine();
        assertThat(commandLine.run(arguments)).as(commandLine.err()).isEqualTo(ExitCode.OK);
        return commandLine;
    }
}
