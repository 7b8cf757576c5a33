package org.lacewingthread.daemon.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.BuiltinHelpFormatter;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Entry point of the command line {@code lacewingthread COMMAND [OPTIONS]}.
 *
 * <pre>{@code
 * lacewingthread check entry.json
 * lacewingthread entry --settings entry.json
 * }</pre>
 */
public final class Lacewingthread {
    private static final int HELP_WIDTH_CHARS = 100;
    private static final int HELP_GAP_CHARS = 2;

    private final List<Command> commands;
    private final PrintStream out;
    private final PrintStream err;

    /** Creates a command line with all commands that prints to the given streams. */
    public Lacewingthread(PrintStream out, PrintStream err) {
        this(Commands.all(), out, err);
    }

    Lacewingthread(List<Command> commands, PrintStream out, PrintStream err) {
        this.commands = List.copyOf(commands);
        this.out = out;
        this.err = err;
    }

    /** Runs a command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.exit(new Lacewingthread(System.out, System.err).run(arguments).number());
    }

    /** Runs the command that the first argument names and returns its exit code. */
    public ExitCode run(String... arguments) {
        if (arguments.length == 0 || isHelp(arguments[0])) {
            out.print(overview());
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        Optional<Command> command =
                commands.stream().filter(c -> c.name().equals(arguments[0])).findFirst();
        if (command.isEmpty()) {
            err.println("command \"" + arguments[0] + "\" does not exist; run \"lacewingthread --help\"");
            return ExitCode.USAGE;
        }
        return run(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private static boolean isHelp(String argument) {
        return argument.equals("--help") || argument.equals("-h") || argument.equals("help");
    }

    private ExitCode run(Command command, String[] arguments) {
        OptionParser parser = new OptionParser();
        parser.acceptsAll(List.of("help", "h"), "show this help").forHelp();
        command.declareOptions(parser);
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has("help")) {
                out.print(commandHelp(command, parser));
                return ExitCode.OK;
            }
            return command.run(options, out, err);
        } catch (OptionException e) {
            err.println(e.getMessage() + "; run \"lacewingthread " + command.name() + " --help\"");
            return ExitCode.USAGE;
        } catch (CommandException e) {
            err.println(e.getMessage());
            return e.exitCode();
        }
    }

    private String overview() {
        StringBuilder text = new StringBuilder("Usage: lacewingthread COMMAND [OPTIONS]\n\nCommands:\n");
        commands.forEach(command -> text.append(String.format("  %-10s %s%n", command.name(), command.summary())));
        text.append("\nExit codes:\n");
        for (ExitCode code : ExitCode.values()) {
            text.append(String.format("  %-10d %s%n", code.number(), code.meaning()));
        }
        return text.append("\nRun \"lacewingthread COMMAND --help\" for the options of a command.\n")
                .toString();
    }

    private static String commandHelp(Command command, OptionParser parser) {
        parser.formatHelpWith(new BuiltinHelpFormatter(HELP_WIDTH_CHARS, HELP_GAP_CHARS));
        java.io.StringWriter options = new java.io.StringWriter();
        try {
            parser.printHelpOn(options);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        String arguments = command.arguments().isEmpty() ? "" : " " + command.arguments();
        return "Usage: lacewingthread " + command.name() + arguments + " [OPTIONS]\n" + command.summary() + "\n\n"
                + options.toString().replaceAll("[ \\r]+(?=\n)", "");
    }
}
