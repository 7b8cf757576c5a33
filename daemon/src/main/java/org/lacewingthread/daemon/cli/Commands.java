package org.lacewingthread.daemon.cli;

import java.util.List;

/** The commands in the order in which help lists them. */
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
