package org.lacewingthread.daemon.cli;

import java.util.List;

/** Lists all commands, in the order of the help text. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        return List.of(
                new EntryCommand(),
                new CheckCommand(),
                new ConfigCommand(),
                new DrainCommand(),
                new HandoverCommand(),
                new StatusCommand(),
                new ExplainCommand(),
                new AuditCommand(),
                new DemoCommand(),
                new StandInCommand(),
                new VersionCommand());
    }
}
