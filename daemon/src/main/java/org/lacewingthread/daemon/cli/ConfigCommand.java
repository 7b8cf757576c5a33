package org.lacewingthread.daemon.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.lacewingthread.core.config.ConfigurationDiff;
import org.lacewingthread.core.config.ConfigurationValidator;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.daemon.operator.publish.ConfigurationFile;
import org.lacewingthread.daemon.operator.publish.ConfigurationPublisher;
import org.lacewingthread.daemon.operator.publish.LogGapException;
import org.lacewingthread.daemon.operator.publish.PublishException;
import org.lacewingthread.daemon.platform.LogException;
import org.lacewingthread.daemon.settings.SettingsException;

/** Reads, compares and publishes the routing configuration. */
final class ConfigCommand implements Command {
    private final PlatformOptions platform = new PlatformOptions();
    private OptionSpec<Long> baseOption;

    /** The first argument: what to do with the configuration. */
    private enum Action {
        GET,
        PUBLISH,
        DIFF,
        HISTORY;

        static Action parse(String text) throws CommandException {
            return Arrays.stream(values())
                    .filter(action -> action.argument().equals(text))
                    .findFirst()
                    .orElseThrow(() -> new CommandException(
                            ExitCode.USAGE,
                            "config action \"" + text + "\" is not known; use one of "
                                    + Arrays.stream(values())
                                            .map(Action::argument)
                                            .collect(Collectors.joining(", "))));
        }

        private String argument() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String arguments() {
        return "get|publish FILE|diff FILE|history";
    }

    @Override
    public String summary() {
        return "Read, compare and publish the routing configuration.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        platform.declareOptions(parser);
        baseOption = parser.accepts("base", "revision that the file was made from; -1 for the first (with publish)")
                .withRequiredArg()
                .describedAs("revision")
                .ofType(Long.class);
    }

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        List<?> arguments = options.nonOptionArguments();
        if (arguments.isEmpty()) {
            throw new CommandException(ExitCode.USAGE, "no config action given; run \"lacewingthread config --help\"");
        }
        return switch (Action.parse(arguments.get(0).toString())) {
            case GET -> platform.runWithLog(options, connection -> get(connection, out, err));
            case PUBLISH -> publish(options, readFile(arguments), out, err);
            case DIFF -> diff(options, readFile(arguments), out);
            case HISTORY -> platform.runWithLog(options, connection -> history(connection, out));
        };
    }

    private static ConfigurationFile readFile(List<?> arguments) throws CommandException {
        if (arguments.size() != 2) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "config " + arguments.get(0) + " takes exactly one file, not " + (arguments.size() - 1));
        }
        try {
            return ConfigurationFile.read(Path.of(arguments.get(1).toString()));
        } catch (SettingsException e) {
            throw new CommandException(ExitCode.INVALID_FILE, e.getMessage(), e);
        }
    }

    private static ExitCode get(PlatformOptions.LogConnection connection, PrintStream out, PrintStream err)
            throws LogException, LogGapException {
        ReplicaState state = readState(connection);
        err.println("revision " + state.configurationRevision());
        out.println(ConfigurationFile.format(state.configuration()));
        return ExitCode.OK;
    }

    private ExitCode publish(OptionSet options, ConfigurationFile file, PrintStream out, PrintStream err)
            throws CommandException {
        if (!options.has(baseOption)) {
            throw new CommandException(
                    ExitCode.USAGE, "no --base given; run \"lacewingthread config get\" for the revision in force");
        }
        LogOffset baseRevision = new LogOffset(options.valueOf(baseOption));
        return platform.runWithLog(options, connection -> publish(connection, baseRevision, file, out, err));
    }

    private static ExitCode publish(
            PlatformOptions.LogConnection connection,
            LogOffset baseRevision,
            ConfigurationFile file,
            PrintStream out,
            PrintStream err)
            throws PublishException, LogException, LogGapException, InterruptedException {
        RoutingConfiguration current = readState(connection).configuration();
        for (ConfigurationValidator.Problem problem : file.problems(current)) {
            err.println(file.describe(problem));
        }
        err.println("publishing on revision " + baseRevision);
        LogOffset revision = new ConfigurationPublisher(connection.publisher())
                .publish(baseRevision, file.configuration(), connection.deadlineMillis());
        out.println("accepted as revision " + revision);
        return ExitCode.OK;
    }

    private ExitCode diff(OptionSet options, ConfigurationFile file, PrintStream out) throws CommandException {
        return platform.runWithLog(options, connection -> {
            RoutingConfiguration current = readState(connection).configuration();
            out.print(ConfigurationDiff.between(current, file.configuration()).text());
            return ExitCode.OK;
        });
    }

    private static ExitCode history(PlatformOptions.LogConnection connection, PrintStream out)
            throws LogException, LogGapException {
        readState(connection);
        connection.history().revisions().forEach(revision -> out.println(AuditLineFormatter.format(revision.line())));
        return ExitCode.OK;
    }

    private static ReplicaState readState(PlatformOptions.LogConnection connection)
            throws LogException, LogGapException {
        connection.reader().readToEnd();
        return connection.reader().state();
    }
}
