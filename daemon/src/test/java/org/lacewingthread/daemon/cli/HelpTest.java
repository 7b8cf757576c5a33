package org.lacewingthread.daemon.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HelpTest {
    private final CommandLine commandLine = new CommandLine();

    @Test
    void overviewListsCommandsAndExitCodes() {
        assertThat(commandLine.run("--help")).isEqualTo(ExitCode.OK);
        assertThat(commandLine.out())
                .isEqualTo(
                        """
                        Usage: lacewingthread COMMAND [OPTIONS]

                        Commands:
                          entry      Run an entry VM.
                          check      Check settings files of entry VMs.
                          config     Read, compare and publish the routing configuration.
                          drain      Drain a backend server or an entry VM.
                          handover   Hand the shards of a lost data centre to another.
                          status     Show the state of an entry VM.
                          explain    Tell why a request ended as it did, or where one would go now.
                          audit      Print who changed what and when.
                          demo       Run a small system in one process, break parts of it and check what was promised.
                          standin    Run a stand-in of the platform or of a backend server, for trials.
                          version    Print the version.

                        Exit codes:
                          0          done
                          1          the command failed
                          2          the arguments are not valid
                          3          a settings or configuration file is not valid
                          4          the base revision is no longer in force
                          5          the platform or an entry VM can't be reached
                          6          the outcome is not known
                          7          the demo found a promise broken

                        Run "lacewingthread COMMAND --help" for the options of a command.
                        """);
    }

    @Test
    void missingCommandPrintsOverviewAndExitsWithUsageError() {
        assertThat(commandLine.run()).isEqualTo(ExitCode.USAGE);
        assertThat(commandLine.out()).startsWith("Usage: lacewingthread COMMAND [OPTIONS]\n");
    }

    @Test
    void helpOfACommandListsItsOptions() {
        assertThat(commandLine.run("entry", "--help")).isEqualTo(ExitCode.OK);
        assertThat(commandLine.out())
                .isEqualTo(
                        """
                        Usage: lacewingthread entry [OPTIONS]
                        Run an entry VM.

                        Option (* = required)        Description
                        ---------------------        -----------
                        -h, --help                   show this help
                        * --settings <String: file>  settings file of the VM
                        """);
    }

    @Test
    void everyCommandHasHelp() {
        for (Command command : Commands.all()) {
            CommandLine fresh = new CommandLine();
            assertThat(fresh.run(command.name(), "--help")).isEqualTo(ExitCode.OK);
            assertThat(fresh.out())
                    .startsWith("Usage: lacewingthread " + command.name())
                    .contains(command.summary());
        }
    }
}
