package org.lacewingthread.daemon.cli;

import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.log.LogRecord;

/** Hands the shards of a lost data centre to another. */
final class HandoverCommand implements Command {
    private final PlatformOptions platform = new PlatformOptions();
    private OptionSpec<String> reason;

    @Override
    public String name() {
        return "handover";
    }

    @Override
    public String arguments() {
        return "FROM TARGET";
    }

    @Override
    public String summary() {
        return "Hand the shards of a lost data centre to another.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        platform.declareOptions(parser);
        reason = parser.accepts("reason", "why, for the audit trail")
                .withRequiredArg()
                .describedAs("text")
                .required();
    }

    @Override
    public ExitCode run(OptionSet options, PrintStream out, PrintStream err) throws CommandException {
        List<?> arguments = options.nonOptionArguments();
        if (arguments.size() != 2) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "handover takes two data centres, \"handover FROM TARGET\"; arguments given: " + arguments.size());
        }
        LogRecord record =
                handoverRecord(arguments.get(0).toString(), arguments.get(1).toString(), options.valueOf(reason));
        return platform.runWithLog(options, connection -> {
            LogOffset offset = connection.publisher().publish(record, connection.deadlineMillis());
            out.println("recorded at offset " + offset);
            return ExitCode.OK;
        });
    }

    private static LogRecord handoverRecord(String from, String target, String reason) throws CommandException {
        try {
            return new LogRecord.DataCentreHandedOver(new DataCentreId(from), new DataCentreId(target), reason);
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, e.getMessage(), e);
        }
    }
}
