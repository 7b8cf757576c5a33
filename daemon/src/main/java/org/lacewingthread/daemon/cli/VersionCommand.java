package org.lacewingthread.daemon.cli;

import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Prints the version of the program. */
final class VersionCommand implements Command {
    private static final String DEVELOPMENT_VERSION = "development build";

    @Override
    public String name() {
        return "version";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Print the version.";
    }

    @Override
    public void declareOptions(OptionParser parser) {}

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) {
        String version = Lacewingthread.class.getPackage().getImplementationVersion();
        out.println("lacewingthread " + (version == null ? DEVELOPMENT_VERSION : version));
        return ExitCode.OK;
    }
}
