package org.lacewingthread.daemon.cli;

import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of the command line. */
interface Command {
    /** Returns the name by which the command line selects the command. */
    String name();

    /** Returns the positional arguments as the usage line shows them; empty if there are none. */
    String arguments();

    /** Returns a one-line summary for the help text. */
    String summary();

    /** Adds the options of the command to a parser. */
    void declareOptions(OptionParser parser);

    /**
     * Runs the command.
     *
     * @param options the parsed options and positional arguments
     * @param out receives the results
     * @param err receives progress and error messages
     * @throws CommandException if the command fails
     */
    ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException;
}
