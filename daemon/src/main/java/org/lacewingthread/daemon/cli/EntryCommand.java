package org.lacewingthread.daemon.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.lacewingthread.daemon.entry.EntryVm;
import org.lacewingthread.daemon.settings.EntrySettings;
import org.lacewingthread.daemon.settings.SettingsException;
import org.lacewingthread.daemon.settings.StrictJson;

/** Runs an entry VM until the process is asked to stop. */
final class EntryCommand implements Command {
    private OptionSpec<String> settingsFile;

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Run an entry VM.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        settingsFile = parser.accepts("settings", "settings file of the VM")
                .withRequiredArg()
                .describedAs("file")
                .required();
    }

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        EntrySettings settings = readSettings(Path.of(options.valueOf(settingsFile)));
        try (EntryVm vm = EntryVm.start(settings)) {
            out.println("entry VM \"" + settings.vm() + "\" started; operator port " + settings.operatorPort());
            vm.awaitStop();
            return ExitCode.OK;
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.FAILED, "entry VM \"" + settings.vm() + "\" can't start: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.OK;
        }
    }

    private static EntrySettings readSettings(Path file) throws CommandException {
        try {
            return StrictJson.read(file, EntrySettings.class);
        } catch (SettingsException e) {
            throw new CommandException(ExitCode.INVALID_FILE, e.getMessage(), e);
        }
    }
}
