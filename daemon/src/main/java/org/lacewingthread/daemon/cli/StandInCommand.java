package org.lacewingthread.daemon.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.lacewingthread.standin.StandInMain;

/** Runs one stand-in of the platform or of a backend server, for trials without the real services. */
final class StandInCommand implements Command {
    @Override
    public String name() {
        return "standin";
    }

    @Override
    public String arguments() {
        return "log|vms|server";
    }

    @Override
    public String summary() {
        return "Run a stand-in of the platform or of a backend server, for trials.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.allowsUnrecognizedOptions();
    }

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        List<String> arguments = new ArrayList<>();
        options.nonOptionArguments().forEach(argument -> arguments.add(argument.toString()));
        try {
            StandInMain.main(arguments.toArray(String[]::new));
            return ExitCode.OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.OK;
        }
    }
}
