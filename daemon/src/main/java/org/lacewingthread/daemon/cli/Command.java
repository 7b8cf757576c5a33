package org.lacewingthread.daemon.cli;

import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One subcommand. */
interface Command {
    /** Returns its name on the command line. */
    String name();

    /** Returns its arguments after the options, for the usage line; may be empty. */
    String arguments();

    /** Returns one line about what it does. */
    String summary();

    /** Declares its options. */
    void declareOptions(OptionParser parser);

    /**
     * Runs it.
     *
     * @param options parsed options
     * @param out takes results
     * @param err takes progress and errors
     * @throws CommandException if it fails
     */
    ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException;
}
