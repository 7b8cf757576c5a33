package org.lacewingthread.daemon.cli;

import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.log.LogRecord;

/** Starts or ends the drain of a backend server or of an entry VM. */
final class DrainCommand implements Command {
    private static final String END_OPTION = "end";

    private final PlatformOptions platform = new PlatformOptions();

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String arguments() {
        return "server|vm NAME";
    }

    @Override
    public String summary() {
        return "Drain a backend server or an entry VM.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        platform.declareOptions(parser);
        parser.accepts(END_OPTION, "end the drain");
    }

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        List<?> arguments = options.nonOptionArguments();
        if (arguments.size() != 2) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "drain takes a kind and a name, such as \"drain server NAME\"; arguments given: "
                            + arguments.size());
        }
        String kind = arguments.get(0).toString();
        String name = arguments.get(1).toString();
        LogRecord record = drainRecord(kind, name, !options.has(END_OPTION));
        return platform.runWithLog(options, connection -> {
            err.println("recording the drain of " + kind + " \"" + name + "\"");
            LogOffset offset = connection.publisher().publish(record, connection.deadlineMillis());
            out.println("recorded at offset " + offset);
            return ExitCode.OK;
        });
    }

    private static LogRecord drainRecord(String kind, String name, boolean draining) throws CommandException {
        try {
            return switch (kind) {
                case "server" -> new LogRecord.ServerDrainSet(new ServerId(name), draining);
                case "vm" -> new LogRecord.VmDrainSet(new VmId(name), draining);
                default -> throw new CommandException(
                        ExitCode.USAGE, "kind \"" + kind + "\" is not known; use server or vm");
            };
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, e.getMessage(), e);
        }
    }
}
