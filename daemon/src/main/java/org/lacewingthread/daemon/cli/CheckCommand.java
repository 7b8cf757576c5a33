package org.lacewingthread.daemon.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.lacewingthread.daemon.settings.EntrySettings;
import org.lacewingthread.daemon.settings.SettingsException;
import org.lacewingthread.daemon.settings.StrictJson;

/** Checks settings files of entry VMs without starting an entry VM. */
final class CheckCommand implements Command {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String arguments() {
        return "FILE...";
    }

    @Override
    public String summary() {
        return "Check settings files of entry VMs.";
    }

    @Override
    public void declareOptions(OptionParser parser) {}

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        List<?> files = options.nonOptionArguments();
        if (files.isEmpty()) {
            throw new CommandException(ExitCode.USAGE, "no file given; name at least one settings file");
        }
        for (Object file : files) {
            check(Path.of(file.toString()), out);
        }
        return ExitCode.OK;
    }

    private static void check(Path file, PrintStream out) throws CommandException {
        try {
            EntrySettings settings = StrictJson.read(file, EntrySettings.class);
            out.println(file + ": valid settings of VM \"" + settings.vm() + "\"");
        } catch (SettingsException e) {
            throw new CommandException(ExitCode.INVALID_FILE, e.getMessage(), e);
        }
    }
}
